package control

import (
	"slices"
	"sync"

	"google.golang.org/grpc/credentials"
)

// Pool keeps one client for each address. Its methods may be called from several goroutines.
type Pool struct {
	creds   credentials.TransportCredentials
	mu      sync.Mutex
	clients map[string]*Client
}

// NewPool returns an empty pool whose clients use creds.
func NewPool(creds credentials.TransportCredentials) *Pool {
	return &Pool{creds: creds, clients: map[string]*Client{}}
}

// Client returns the client for this TCP address, made at the first call.
func (p *Pool) Client(address string) (*Client, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c := p.clients[address]; c != nil {
		return c, nil
	}
	c, err := NewClient(address, p.creds)
	if err != nil {
		return nil, err
	}
	p.clients[address] = c
	return c, nil
}

// Drop closes the client for this address after a failed call, since its connection may have gone
// silent for good. The next call to Client makes a new one.
func (p *Pool) Drop(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c := p.clients[address]; c != nil {
		c.Close()
		delete(p.clients, address)
	}
}

// CloseExcept closes the clients whose address is not among these.
func (p *Pool) CloseExcept(addresses ...string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, c := range p.clients {
		if !slices.Contains(addresses, address) {
			c.Close()
			delete(p.clients, address)
		}
	}
}

// Close closes all clients.
func (p *Pool) Close() {
	p.CloseExcept()
}
