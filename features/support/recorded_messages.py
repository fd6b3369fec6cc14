"""Messages between VMs as landed builds have written them, as hex digits."""

from types import MappingProxyType

# By the build f0f2c2e.
F0F2C2E = MappingProxyType(
    {
        'datagram-empty': (
            '9b03000796a4766d2d31050103c000940908070690a090c0c0929090'
        ),
        'datagram-full': (
            '9b03050896a4766d2d3105020394a464632d61a53a3830303092a831302e'
            '302e302e31cd1b58320294090807069196a4766d2d32040300c000a4766d'
            '2d339195a3732d3101cb3ff8000000000000c31495a3732d310102cb3ff8'
            '0000000000001e94a3732d310102289291a4706f6f6c9193a4706f6f6ca4'
            '766d2d3232'
        ),
        'statuses': (
            '78019b386d4959aeae212b23f3942529c9ba894bad2c0c0c0c26ad3034d0'
            '0341c3b3d211468c00f01c0b73'
        ),
        'relay-request': (
            '9c01a4766d2d3109a4706f6f6ccd03200a0191a3732d31c403474554c408'
            '2f72656164732f319192c404486f7374c40c73686f702e6578616d706c65'
            'c404626f6479'
        ),
        'relay-reply': (
            '9801a372756e0195a3732d31ccc8c4024f4b9192c40141c40162c406616e'
            '73776572a0a0c0c0'
        ),
        'relay-refusal': ('9801a76e6f742d72756e00c0a0a0c0a462757379'),
        'relay-held': (
            '9801a76e6f742d72756e00c0ac726571756573742d68656c64a468656c64'
            'cdea60c0'
        ),
        'vm-record': (
            '7b226e616d65223a22766d2d31222c22646174615f63656e746572223a22'
            '64632d61222c2266726f6e74223a2231302e302e302e313a38303030222c'
            '2265786368616e6765223a5b2231302e302e302e31222c373030305d2c22'
            '6361706163697479223a35302c22666c6565745f73697a65223a31337d'
        ),
    }
)

# By the build 109eea4: a VM's state of revision 9 that was confirmed 250 ms
# ago, with the document of revision 5, server s-1 and the record of vm-1.
B109EEA4 = MappingProxyType(
    {
        'state': (
            '940309ccfbc4cb78014d8dbd6a02411446578d4f616963b361d7c6e893d8'
            'c9cdec5507666764ee65f0079b08a9b3ea03088eba2ae421425a6d53fb26'
            '110495d37ee73bcbd996e15d21957784d6a1a5335f1ad9daa574be34677f'
            'bfc5c9741164cb4faf21c53585b1ef1be27d5c6fbc4657623f30964fd5da'
            '8694617a3926c0d011a819ed6aa7109cd4bd9febc8a842f0957d6c2d0a63'
            '93db9d7769183f1b3e11216cbad668febe175a6f5114e538147dd03d9c3f'
            'd2a74a3b1730002179141cba0a913b24c718e4169d246974e91fe49f5b24'
        ),
        'datagram': (
            '9c03000796a4766d2d31050103c0009409ce353bcfc8ccfa0690a090c0c0'
            '929090c0'
        ),
    }
)
# The digest of that state.
B109EEA4_DIGEST = 893112264
