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
