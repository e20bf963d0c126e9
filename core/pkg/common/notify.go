package common

// Notify makes a channel with room for one signal receive, unless one waits already.
func Notify(ch chan<- struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}
