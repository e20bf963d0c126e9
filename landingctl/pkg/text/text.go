// Package text holds the texts that landingctl shows.
package text

// Usage is shown when the command line is wrong.
const Usage = `usage: landingctl COMMAND [flags] [arguments]

  check FILE                    check the lists in FILE
  diff FILE                     show what FILE would change
  apply FILE                    put the lists in FILE into force
  zone out|back NAME            take an availability zone out, or put it back
  upstream out|back INSTANCE    take an upstream out, or put it back
  status                        show the state of the fleet
  explain CALLER SERVICE        show where a flow goes, or why it is refused
  trace ID FILE...              show what the logs in FILEs say of a request or flow
  metrics ADDRESS...            show what the processes at these metrics addresses believe (relay path)
  rotate                        replace the key for the tags of datagrams
  history                       show the changes of the lists, newest first

Example: landingctl zone -balancers 127.0.0.1:21010 -platform 127.0.0.1:21000 out khomas-a

Exit statuses: 0 done, 1 failed, 2 wrong arguments or lists, 3 refused because of another's change,
4 done but not seen in force everywhere in time.
`

// Messages of the command trace.
const (
	LinesSkipped = "%s: %d lines passed over: cut off, or not of crocuslanding\n"
	NoStory      = "%s occurs in none of %d lines\n"
)

// NoMetrics is shown for a process whose metrics cannot be read.
const NoMetrics = "%s: %v\n"

// Texts of flags.
const (
	Platform  = "TCP address of the platform's object API"
	Balancers = "control addresses of balancers, separated by commas"
	Wait      = "how long to wait until the change is in force everywhere"
	DryRun    = "only show what would change"
	JSON      = "print JSON"
	Author    = "name of the operator, kept with the change"
	Base      = "serial number that the lists in force must have; 0 for any"
	Port      = "port of the caller"

	Certificate = "path of the operator's certificate, in PEM; empty for connections without TLS"
	Key         = "path of the operator's private key, in PEM"
	Authority   = "path of the certificates of the fleet's authorities, in PEM"
)
