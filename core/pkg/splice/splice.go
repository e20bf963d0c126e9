// Package splice copies bytes between two connections in both directions.
package splice

import (
	"errors"
	"io"
	"net"
	"sync"
)

const copyBufferBytes = 32 << 10

// Conn is a connection that can be closed in one direction and can be reset.
type Conn interface {
	net.Conn
	// CloseWrite closes the sending direction.
	CloseWrite() error
	// Reset closes the connection with a reset, so that the other end sees a failure and not a regular end.
	Reset()
}

// Run copies bytes from a to b and from b to a until both directions have ended, and then closes both connections.
// When one direction fails, both connections are reset, so that a truncated response does not look complete.
func Run(a, b Conn) {
	var wg sync.WaitGroup
	wg.Go(func() { copyOneWay(a, b) })
	wg.Go(func() { copyOneWay(b, a) })
	wg.Wait()
	_ = a.Close()
	_ = b.Close()
}

// copyOneWay copies bytes from one connection to the other until from has ended, and then closes the sending direction
// of to. When copying or closing fails, it resets both connections, unless they are closed already.
func copyOneWay(to, from Conn) {
	buffer := make([]byte, copyBufferBytes)
	_, err := io.CopyBuffer(writerOnly{to}, readerOnly{from}, buffer)
	if err == nil {
		err = to.CloseWrite()
	}
	if err != nil && !errors.Is(err, net.ErrClosed) {
		to.Reset()
		from.Reset()
	}
}

// writerOnly hides the method ReadFrom of a connection, with which io.CopyBuffer would not use the given buffer.
type writerOnly struct{ io.Writer }

// readerOnly hides the method WriteTo of a connection, with which io.CopyBuffer would not use the given buffer.
type readerOnly struct{ io.Reader }
