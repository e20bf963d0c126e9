package position

import (
	"fmt"
)

func ExampleIsLater() {
	beforeReturn, afterReturn := New(1, 120), New(2, 90)
	fmt.Println(IsLater(afterReturn, beforeReturn), IsLater(New(1, 121), beforeReturn), IsLater(beforeReturn, beforeReturn))
	// Output: true true false
}
