package common

// Notify puts a signal into a channel with a buffer of one, without blocking. It does nothing when the channel already
// holds a signal.
func Notify(ch chan<- struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}
