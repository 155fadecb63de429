import asyncio
class KeeperDaemon:
    def __init__(self,*a): pass
    async def start(self): pass
    async def drain(self): pass
    async def close(self): pass
