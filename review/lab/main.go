package main

import (
	"flag"
	"fmt"
	"os"
	"time"
)

// maxRunTime ends a case that hangs.
const maxRunTime = 100 * time.Second

func main() {
	name := flag.String("case", "", "name of the case")
	record := flag.String("record", "record.txt", "path of the record")
	programs := flag.String("programs", "target", "folder of the programs")
	flag.Parse()
	cases := map[string]func(*lab){
		"late-copy":         lateCopyCase,
		"restart":           restartCase,
		"late-heartbeat":    lateHeartbeatCase,
		"foreign-heartbeat": foreignHeartbeatCase,
	}
	run, found := cases[*name]
	if !found {
		fmt.Fprintln(os.Stderr, "unknown case")
		os.Exit(statusNotRun)
	}
	time.AfterFunc(maxRunTime, func() {
		fmt.Fprintln(os.Stderr, "the case takes too long")
		os.Exit(statusNotRun)
	})
	l := newLab(*record, *programs, os.Getenv("TROUBLE") != "0")
	run(l)
	l.finish()
}
