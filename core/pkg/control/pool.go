package control

import (
	"slices"
	"sync"

	"google.golang.org/grpc/credentials"
)

// Pool holds one client for each balancer address. Its methods may be called from several goroutines.
type Pool struct {
	creds   credentials.TransportCredentials
	mu      sync.Mutex
	clients map[string]*Client
}

// NewPool returns an empty pool. Its clients use creds.
func NewPool(creds credentials.TransportCredentials) *Pool {
	return &Pool{creds: creds, clients: map[string]*Client{}}
}

// Client returns the client for this TCP address, an IP and port, and creates it when the pool has none.
// It returns an error when the address cannot be used.
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

// Drop closes and removes the client for this address. It is meant for use after a failed call to the
// balancer, whose connection may have stopped responding. The next call of the method Client creates a
// new client.
func (p *Pool) Drop(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c := p.clients[address]; c != nil {
		c.Close()
		delete(p.clients, address)
	}
}

// CloseExcept closes and removes the clients for all other addresses than these.
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

// Close closes and removes all clients.
func (p *Pool) Close() {
	p.CloseExcept()
}
