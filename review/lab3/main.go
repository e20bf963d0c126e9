// Program lab3 plays the scripts of the third review: small deployments of the project's processes on loopback addresses,
// with stand-ins for the platform's store, routers, targets and clients.
//
// Usage: lab3 CASE PROGRAMS RECORD, where CASE is config, evacuation or flow. TROUBLE=0 leaves out the disruption. It exits
// with 1 if the rule was broken, 0 if it held and 2 if the case could not run.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

var errBroken = errors.New("the rule was broken")

func main() {
	os.Exit(run())
}

func run() int {
	if len(os.Args) != 4 {
		fmt.Println("usage: lab3 CASE PROGRAMS RECORD")
		return 2
	}
	f, err := newFleet(os.Args[2], os.Args[3])
	if err != nil {
		fmt.Println(err)
		return 2
	}
	defer f.stop()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-interrupted
		f.stop()
		os.Exit(2)
	}()
	cases := map[string]func(*fleet, bool) error{"config": playConfig, "evacuation": playEvacuation, "flow": playFlow}
	play, found := cases[os.Args[1]]
	if !found {
		fmt.Println("unknown case", os.Args[1])
		return 2
	}
	switch err := play(f, os.Getenv("TROUBLE") != "0"); {
	case errors.Is(err, errBroken):
		f.logf("result: broken")
		fmt.Println(err)
		return 1
	case err != nil:
		f.logf("result: could not run: %v", err)
		fmt.Println("could not run:", err)
		return 2
	}
	f.logf("result: held")
	fmt.Println("held")
	return 0
}
