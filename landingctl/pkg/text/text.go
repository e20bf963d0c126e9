// Package text holds the usage text, the messages and the flag descriptions of landingctl.
package text

// Usage is printed if the command line is wrong.
const Usage = `usage: landingctl COMMAND [flags] [arguments]

  check FILE                    check the lists in FILE
  diff FILE                     show what FILE would change
  apply FILE                    put the lists in FILE into force
  zone out|back NAME            take an availability zone out, or put it back
  upstream out|back INSTANCE    take an upstream out, or put it back
  status                        show the state of the fleet
  explain CALLER SERVICE        show where a flow goes, or why it is refused
  trace ID FILE...              show the lines about a request or flow in the logs in FILEs
  metrics ADDRESS...            show the state of the processes at these metrics addresses (relay path)
  load ADDRESS...               show the load of the sidecars at these metrics addresses, the most loaded one first (relay
                                path); -interval for the time over which events are counted, -json for JSON
  rotate                        replace the key for the tags of datagrams
  history                       show the changes of the lists, newest first

Example: landingctl zone -balancers 127.0.0.1:21010 -platform 127.0.0.1:21000 out khomas-a

Exit statuses: 0 done, 1 failed, 2 wrong arguments or lists, 3 refused because another operator's change came first,
4 accepted but not in force at all balancers within the time of -wait.
`

// Messages of the trace command.
const (
	// LinesSkipped takes the path of a log file and the number of skipped lines.
	LinesSkipped = "%s: %d lines skipped: truncated, or not written by crocuslanding\n"
	// NoMatchingLines takes the requested identifier and the number of lines that were searched.
	NoMatchingLines = "%s occurs in none of %d lines\n"
)

// MetricsUnavailable is printed for a process whose metrics cannot be read. It takes the metrics address and the error.
const MetricsUnavailable = "%s: %v\n"

// Messages of the load command.
const (
	// LoadInterval takes the number of processes that were read, the number of addresses and the interval.
	LoadInterval = "%d of %d processes read; waits and refusals of %s\n"
	// LoadSinceStart takes the number of processes that were read and the number of addresses.
	LoadSinceStart = "%d of %d processes read; waits and refusals since the start of each process\n"
	// LoadPartial takes the number of processes that were not read.
	LoadPartial = "PARTIAL: sums and lists are without the processes that could not be read (%d):\n"
	// LoadNotAsked takes the metrics address of a balancer, the number of sidecars that are enrolled there and the number
	// of sidecars that were read.
	LoadNotAsked = "PARTIAL: %s has %d sidecars enrolled, and %d were read\n"
)

// Descriptions of the flags.
const (
	Interval = "time between two reads, over which waits and refusals are counted; 0 for one read, with those since the start"

	Platform  = "TCP address of the platform's object API"
	Balancers = "control addresses of balancers, separated by commas"
	Wait      = "how long to wait until the change is in force everywhere"
	DryRun    = "only show what would change"
	JSON      = "print JSON"
	Author    = "name of the operator, stored with the change"
	Base      = "serial number that the lists in force must have; 0 for any"
	Port      = "port of the caller"

	Certificate = "path of the operator's certificate, in PEM; empty for connections without TLS"
	Key         = "path of the operator's private key, in PEM"
	Authority   = "path of the certificates of the fleet's authorities, in PEM"
)
