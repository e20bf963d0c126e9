package deployment

import (
	"fmt"
	"net"
	"sync"
)

// Ports are taken from below the range that the operating system hands out by itself.
const (
	firstPort = 10000
	lastPort  = 20000
)

var ports = struct {
	mu   sync.Mutex
	next int
}{next: firstPort}

// newAddress returns a loopback address whose port is free for TCP and UDP.
func newAddress() string {
	ports.mu.Lock()
	defer ports.mu.Unlock()
	for range lastPort - firstPort {
		address := fmt.Sprintf("127.0.0.1:%d", ports.next)
		ports.next++
		if ports.next == lastPort {
			ports.next = firstPort
		}
		if isFree(address) {
			return address
		}
	}
	panic("no free port")
}

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
