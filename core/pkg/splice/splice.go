// Package splice passes bytes between two connections.
package splice

import (
	"errors"
	"io"
	"net"
	"sync"
)

const bufferBytes = 32 << 10

// Conn is a connection that can close one direction and can be reset.
type Conn interface {
	net.Conn
	// CloseWrite ends the direction away from this process.
	CloseWrite() error
	// Reset ends the connection at once, so that the other end sees a failure and not an end.
	Reset()
}

// Run passes bytes both ways until both directions have ended. When one direction fails, both
// sides are reset, so that no short answer looks whole.
func Run(a, b Conn) {
	var wg sync.WaitGroup
	wg.Go(func() { pass(a, b) })
	wg.Go(func() { pass(b, a) })
	wg.Wait()
	_ = a.Close()
	_ = b.Close()
}

func pass(to, from Conn) {
	buffer := make([]byte, bufferBytes)
	_, err := io.CopyBuffer(writerOnly{to}, readerOnly{from}, buffer)
	if err == nil {
		err = to.CloseWrite()
	}
	if err != nil && !errors.Is(err, net.ErrClosed) {
		to.Reset()
		from.Reset()
	}
}

// writerOnly hides other methods, so that the given buffer is used.
type writerOnly struct{ io.Writer }

type readerOnly struct{ io.Reader }
