package weight

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestFasterUpstreamWeighsMore(t *testing.T) {
	is := is.New(t)
	is.Equal(Of(8, 10*time.Millisecond), uint32(800))
	is.Equal(Of(8, 40*time.Millisecond), uint32(200))
	is.Equal(Of(8, 0), Of(8, guess))
	is.Equal(Of(8, time.Nanosecond), Of(8, leastTime))
	is.Equal(Of(1, time.Hour), uint32(1))
}

func TestSmallDifferenceIsNotAnnounced(t *testing.T) {
	is := is.New(t)
	is.True(!IsChange(100, 114))
	is.True(!IsChange(100, 86))
	is.True(IsChange(100, 115))
	is.True(IsChange(100, 85))
}

func ExampleOf() {
	fmt.Println(Of(8, 20*time.Millisecond))
	// Output: 400
}
