package deployment

import (
	"fmt"
	"net"
	"sync"
)

// Range of the ports, without endPort. It lies below the range from which the operating system assigns ports by itself.
const (
	firstPort = 10000
	endPort   = 20000
)

// portAllocator holds the next port that newAddress tries.
var portAllocator = struct {
	mu       sync.Mutex
	nextPort int
}{nextPort: firstPort}

// newAddress returns a loopback address whose port is free for TCP and UDP. It panics when no port is free.
func newAddress() string {
	portAllocator.mu.Lock()
	defer portAllocator.mu.Unlock()
	for range endPort - firstPort {
		address := fmt.Sprintf("127.0.0.1:%d", portAllocator.nextPort)
		portAllocator.nextPort++
		if portAllocator.nextPort == endPort {
			portAllocator.nextPort = firstPort
		}
		if isFree(address) {
			return address
		}
	}
	panic("no port is free for TCP and UDP on 127.0.0.1")
}

// isFree reports whether the address can be bound for TCP and UDP.
func isFree(address string) bool {
	tcp, err := net.Listen("tcp4", address)
	if err != nil {
		return false
	}
	defer func() { _ = tcp.Close() }()
	udp, err := net.ListenPacket("udp4", address)
	if err != nil {
		return false
	}
	_ = udp.Close()
	return true
}
