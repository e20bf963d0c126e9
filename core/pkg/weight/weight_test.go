package weight

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestFromLatency(t *testing.T) {
	is := is.New(t)
	is.Equal(FromLatency(8, 10*time.Millisecond), uint32(800))
	is.Equal(FromLatency(8, 40*time.Millisecond), uint32(200))
	is.Equal(FromLatency(8, 0), FromLatency(8, defaultLatency))
	is.Equal(FromLatency(8, time.Nanosecond), FromLatency(8, minLatency))
	is.Equal(FromLatency(1, time.Hour), uint32(1))
}

func TestIsSignificantChange(t *testing.T) {
	is := is.New(t)
	is.True(!IsSignificantChange(100, 114))
	is.True(!IsSignificantChange(100, 86))
	is.True(IsSignificantChange(100, 115))
	is.True(IsSignificantChange(100, 85))
}

func ExampleFromLatency() {
	fmt.Println(FromLatency(8, 20*time.Millisecond))
	// Output: 400
}
