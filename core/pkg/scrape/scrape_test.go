package scrape

import (
	"os"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
)

func ExampleWrite() {
	Write(os.Stdout, []landing.Counter{
		landing.Counter{}.WithName("refused.room").WithValue(2),
		landing.Counter{}.WithName("forwarded").WithValue(9),
	})
	// Output:
	// crocuslanding_forwarded 9
	// crocuslanding_refused{reason="room"} 2
}
