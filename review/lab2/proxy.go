package main

import (
	"io"
	"net"
	"sync"
)

// proxy passes TCP connections on to the store. Its open connections can go silent: no byte passes any more in either
// direction, and neither end learns of it. Connections that are opened later work.
type proxy struct {
	listener net.Listener
	target   string
	mu       sync.Mutex
	conns    map[*proxied]bool
}

// proxied is one connection through the proxy.
type proxied struct {
	client, server net.Conn
	silent         chan struct{}
}

func newProxy(address, target string) (*proxy, error) {
	l, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: l, target: target, conns: map[*proxied]bool{}}
	go p.accept()
	return p, nil
}

func (p *proxy) accept() {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return
		}
		server, err := net.Dial("tcp4", p.target)
		if err != nil {
			_ = client.Close()
			continue
		}
		c := &proxied{client: client, server: server, silent: make(chan struct{})}
		p.mu.Lock()
		p.conns[c] = true
		p.mu.Unlock()
		var both sync.WaitGroup
		both.Go(func() { c.pass(server, client) })
		both.Go(func() { c.pass(client, server) })
		go func() {
			both.Wait()
			_ = client.Close()
			_ = server.Close()
			p.mu.Lock()
			delete(p.conns, c)
			p.mu.Unlock()
		}()
	}
}

// pass copies bytes until one end closes. Once the connection is silent, it reads and drops them, and passes no end on.
func (c *proxied) pass(to, from net.Conn) {
	b := make([]byte, 32<<10)
	for {
		n, err := from.Read(b)
		select {
		case <-c.silent:
			if err != nil {
				return
			}
			continue
		default:
		}
		if n > 0 {
			_, _ = to.Write(b[:n])
		}
		if err != nil {
			if err != io.EOF {
				_ = to.Close()
			} else if t, isTCP := to.(*net.TCPConn); isTCP {
				_ = t.CloseWrite()
			}
			return
		}
	}
}

// silence makes all open connections silent for good and returns how many there are.
func (p *proxy) silence() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		select {
		case <-c.silent:
		default:
			close(c.silent)
		}
	}
	return len(p.conns)
}

// open returns the number of open connections.
func (p *proxy) open() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.conns)
}

func (p *proxy) stop() {
	_ = p.listener.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		_ = c.client.Close()
		_ = c.server.Close()
	}
}
