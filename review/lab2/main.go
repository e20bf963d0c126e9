// Command lab2 plays the scripts of the review against the project's own programs, which it starts as separate processes
// on loopback addresses. Usage: lab2 CASE RECORD, from the root of the project. It exits with 1 if the rule was broken, 0 if
// it held, and 2 if the case couldn't run. With TROUBLE=0 it does the same without the disruption.
package main

import (
	"fmt"
	"os"
	"time"
)

// scenario plays a case and returns the number of breaks of its rule.
type scenario func(r *record, root, folder string, trouble bool) (int, error)

func main() {
	scenarios := map[string]scenario{"silent": playSilent, "long": playLong, "zone": playZone, "odd": playOdd}
	if len(os.Args) != 3 || scenarios[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: lab2 CASE RECORD")
		os.Exit(2)
	}
	os.Exit(run(scenarios[os.Args[1]], os.Args[2]))
}

func run(play scenario, path string) int {
	file, err := os.Create(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer file.Close()
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer func() {
		if os.Getenv("KEEP") == "" {
			_ = os.RemoveAll(folder)
		} else {
			fmt.Fprintln(os.Stderr, folder)
		}
	}()
	root, err := os.Getwd()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	r := &record{file: file, start: time.Now()}
	breaks, err := play(r, root, folder, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		r.write("the case couldn't run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return 2
	case breaks > 0:
		r.write("BROKEN: %d times", breaks)
		fmt.Println("broken:", breaks)
		return 1
	}
	r.write("held")
	fmt.Println("held")
	return 0
}
