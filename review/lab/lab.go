// Command lab runs the scripts of this review: the project's balancers and sidecars as separate processes on loopback
// addresses, with stand-ins for clients, routers, targets and the platform's store in this process.
package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/crocuslanding/crocuslanding/platform/standin/store"
)

// Offsets of the ports. All machines use the same ports, each at an IP address of its own.
const (
	portFront = iota
	portFleet
	portReady
	portStore
	portOutbound
	portControl
	portApp
	portCount
)

// Exit statuses of a script.
const (
	statusHeld   = 0
	statusBroken = 1
	statusNotRun = 2
)

// touchWindow is stable_window_ms.
const touchWindow = 4 * time.Second

// lab is one small deployment.
type lab struct {
	mu        sync.Mutex
	startedAt time.Time
	record    *os.File
	folder    string
	programs  string
	net       byte
	basePort  uint16
	trouble   bool
	store     *store.Store
	edges     []*edge
	sides     []*side
	clients   int
	broken    []string
	processes map[*process]bool
}

func newLab(recordPath, programs string, trouble bool) *lab {
	record, err := os.Create(recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(statusNotRun)
	}
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(statusNotRun)
	}
	l := &lab{startedAt: time.Now(), record: record, folder: folder, programs: programs, trouble: trouble, store: store.New(), processes: map[*process]bool{}}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		l.exit(statusNotRun)
	}()
	l.choosePorts()
	listener, err := net.Listen("tcp4", l.storeAddress().String())
	l.must(err)
	go func() { _ = http.Serve(listener, l.store.Handler()) }()
	return l
}

// choosePorts chooses loopback addresses and ports that are free.
func (l *lab) choosePorts() {
	for range 200 {
		l.net = byte(60 + rand.IntN(150))
		l.basePort = uint16(20000 + rand.IntN(9000))
		isFree := true
		for i := range portCount {
			listener, err := net.Listen("tcp4", netip.AddrPortFrom(l.ip(0, 1), l.port(i)).String())
			if err != nil {
				isFree = false
				break
			}
			_ = listener.Close()
		}
		if isFree {
			return
		}
	}
	l.logf("no free ports")
	l.exit(statusNotRun)
}

func (l *lab) port(offset int) uint16 { return l.basePort + uint16(offset) }

func (l *lab) ip(subnet, host int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, l.net, byte(subnet), byte(host)})
}

func (l *lab) storeAddress() netip.AddrPort {
	return netip.AddrPortFrom(l.ip(250, 1), l.port(portStore))
}

// route is the address of a route, which no process listens on.
func (l *lab) route() netip.AddrPort { return netip.AddrPortFrom(l.ip(200, 1), 8080) }

// logf writes a line to the record, with the seconds since the start.
func (l *lab) logf(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	fmt.Fprintf(l.record, "%8.3f %s\n", time.Since(l.startedAt).Seconds(), fmt.Sprintf(format, args...))
}

// must ends the script as not run when there is an error.
func (l *lab) must(err error) {
	if err != nil {
		l.logf("cannot run: %v", err)
		fmt.Fprintln(os.Stderr, "cannot run:", err)
		l.exit(statusNotRun)
	}
}

// breach records that a rule was broken.
func (l *lab) breach(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	l.logf("BROKEN %s", text)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.broken = append(l.broken, text)
}

// finish ends all processes and the script.
func (l *lab) finish() {
	if len(l.broken) > 0 {
		fmt.Printf("broken, %d times; the first: %s\n", len(l.broken), l.broken[0])
		l.exit(statusBroken)
	}
	fmt.Println("held")
	l.exit(statusHeld)
}

func (l *lab) exit(status int) {
	l.mu.Lock()
	running := l.processes
	l.processes = map[*process]bool{}
	l.mu.Unlock()
	for p := range running {
		_ = p.cmd.Process.Kill()
		<-p.ended
	}
	if os.Getenv("KEEP") != "" {
		fmt.Println("logs:", l.folder)
	} else {
		_ = os.RemoveAll(l.folder)
	}
	_ = l.record.Close()
	os.Exit(status)
}

// process is a running program of the project.
type process struct {
	cmd   *exec.Cmd
	ended chan struct{}
}

func (l *lab) startProcess(program, name string, settings map[string]any) *process {
	b, err := json.Marshal(settings)
	l.must(err)
	path := filepath.Join(l.folder, name+".json")
	l.must(os.WriteFile(path, b, 0o600))
	output, err := os.OpenFile(filepath.Join(l.folder, name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	l.must(err)
	cmd := exec.Command(filepath.Join(l.programs, program), "-settings", path)
	cmd.Stdout, cmd.Stderr = output, output
	// The process ends with the script, whatever ends the script.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	l.must(cmd.Start())
	p := &process{cmd: cmd, ended: make(chan struct{})}
	l.mu.Lock()
	l.processes[p] = true
	l.mu.Unlock()
	go func() {
		_ = cmd.Wait()
		_ = output.Close()
		l.mu.Lock()
		delete(l.processes, p)
		l.mu.Unlock()
		close(p.ended)
	}()
	l.logf("%s %s starts, process %d", program, name, cmd.Process.Pid)
	return p
}

// edge is a machine with a balancer.
type edge struct {
	lab     *lab
	name    string
	zone    string
	ip      netip.Addr
	store   string
	process *process
	// misses counts failed readiness checks in a row.
	misses int
}

func (e *edge) front() netip.AddrPort { return netip.AddrPortFrom(e.ip, e.lab.port(portFront)) }

// side is a machine with a sidecar and a target.
type side struct {
	lab     *lab
	name    string
	zone    string
	service string
	ip      netip.Addr
	process *process
	target  *target
}

func (n *side) app() netip.AddrPort      { return netip.AddrPortFrom(n.ip, n.lab.port(portApp)) }
func (n *side) outbound() netip.AddrPort { return netip.AddrPortFrom(n.ip, n.lab.port(portOutbound)) }

func (n *side) control() netip.AddrPort { return netip.AddrPortFrom(n.ip, n.lab.port(portControl)) }

// seeds are the control addresses of at most three edges.
func (l *lab) seeds() []string {
	var seeds []string
	for i := range 3 {
		seeds = append(seeds, netip.AddrPortFrom(l.ip(0, i+1), l.port(portControl)).String())
	}
	return seeds
}

// addEdge starts a balancer. Its settings are those of deploy/balancer.json.template. storeAddress is the address at
// which it reaches the store.
func (l *lab) addEdge(zone, storeAddress string) *edge {
	e := &edge{lab: l, name: fmt.Sprintf("edge-%d", len(l.edges)+1), zone: zone, ip: l.ip(0, len(l.edges)+1), store: storeAddress}
	l.mu.Lock()
	l.edges = append(l.edges, e)
	l.mu.Unlock()
	e.start()
	return e
}

func (e *edge) start() {
	l := e.lab
	address := func(offset int) string { return netip.AddrPortFrom(e.ip, l.port(offset)).String() }
	e.process = l.startProcess("balancer", e.name, map[string]any{
		"instance": e.name, "zone": e.zone, "front": address(portFront), "readiness": address(portReady), "fleet": address(portFleet),
		"platform": e.store, "seeds": l.seeds(), "grace": "6s", "leave": "1700ms", "apply": "3000ms", "exclude": "5000ms",
	})
}

// addSide starts a sidecar and its target, in the order in which the machine starts them. Its settings are those of
// deploy/sidecar.json.template.
func (l *lab) addSide(zone, service string) *side {
	n := &side{lab: l, name: fmt.Sprintf("side-%d", len(l.sides)+1), zone: zone, service: service, ip: l.ip(1, len(l.sides)+1)}
	l.sides = append(l.sides, n)
	n.start()
	n.target = l.startTarget(fmt.Sprintf("i-%d-1", len(l.sides)), n, 0)
	return n
}

func (n *side) start() {
	l := n.lab
	address := func(offset int) string { return netip.AddrPortFrom(n.ip, l.port(offset)).String() }
	n.process = l.startProcess("sidecar", n.name, map[string]any{
		"instance": n.name, "zone": n.zone, "service": n.service, "front": address(portFront), "outbound": address(portOutbound),
		"local": address(portControl), "upstream": address(portApp), "readiness": address(portReady), "fleet": address(portFleet),
		"platform": l.storeAddress().String(), "seeds": l.seeds(), "heartbeat": "770ms", "grace": "6s", "writes": 400,
	})
}

// kill ends a process at once.
func (p *process) kill() {
	_ = p.cmd.Process.Kill()
	<-p.ended
}

// terminate asks a process to stop and waits for its end.
func (p *process) terminate() {
	_ = p.cmd.Process.Signal(syscall.SIGTERM)
	<-p.ended
}

// configure writes the first configuration: one route to the service.
func (l *lab) configure(service string) {
	l.store.Put("config", "main", map[string]any{
		"version": 7,
		"routes": []any{map[string]any{
			"name": "r-1", "host": l.route().Addr().String(), "path_prefix": fmt.Sprintf("/%d/", l.route().Port()), "type": "safe",
			"timeout_ms": 2500, "aim_ms": 250, "priority": 2, "service": service, "max_attempts": 2,
		}},
		"services": []any{map[string]any{"name": service, "health_path": "/health", "max_conns": 2000, "cold_start_s": 2, "cold_per_s": 0}},
		"limits":   map[string]any{"idle_timeout_ms": 15000},
	})
}

// probe calls the readiness of each edge twice a second, as the routers do.
func (l *lab) probe() {
	client := &http.Client{Timeout: 400 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	for ; ; time.Sleep(500 * time.Millisecond) {
		l.mu.Lock()
		edges := append([]*edge(nil), l.edges...)
		l.mu.Unlock()
		for _, e := range edges {
			resp, err := client.Get("http://" + netip.AddrPortFrom(e.ip, l.port(portReady)).String() + "/v1/readiness")
			isReady := err == nil && resp.StatusCode == http.StatusOK
			if err == nil {
				_ = resp.Body.Close()
			}
			l.mu.Lock()
			if isReady {
				e.misses = 0
			} else {
				e.misses++
			}
			l.mu.Unlock()
		}
	}
}

// pick returns the edge that gets the packets of a flow: the first by hash of those in rotation.
func (l *lab) pick(key [2]netip.AddrPort) *edge {
	l.mu.Lock()
	defer l.mu.Unlock()
	var best *edge
	for _, isReadyOnly := range []bool{true, false} {
		for _, e := range l.edges {
			if isReadyOnly && e.misses >= 2 {
				continue
			}
			if best == nil || rank(key, e.front()) > rank(key, best.front()) {
				best = e
			}
		}
		if best != nil {
			return best
		}
	}
	return best
}

func (l *lab) routeOf(key [2]netip.AddrPort) netip.AddrPort { return l.pick(key).front() }

// standardLab starts two balancers and three sidecars with their targets, and waits until they are in touch.
func (l *lab) standardLab() {
	l.configure("desk")
	for _, zone := range []string{"a", "b"} {
		l.addEdge(zone, l.storeAddress().String())
	}
	for _, zone := range []string{"a", "b", "c"} {
		l.addSide(zone, "desk")
	}
	l.settle()
}

// settle waits until all edges are ready and all sidecars are enrolled, and then for the time until every machine is in
// touch.
func (l *lab) settle() {
	go l.probe()
	deadline := time.Now().Add(20 * time.Second)
	for time.Now().Before(deadline) {
		time.Sleep(100 * time.Millisecond)
		l.mu.Lock()
		ready := len(l.store.ObjectNames("sidecars")) == len(l.sides)
		for _, e := range l.edges {
			ready = ready && e.misses == 0
		}
		l.mu.Unlock()
		if ready {
			time.Sleep(touchWindow + time.Second)
			return
		}
	}
	l.logf("the deployment is not ready")
	l.exit(statusNotRun)
}

// findTarget returns the running incarnation with this id.
func (l *lab) findTarget(id string) *target {
	for _, n := range l.sides {
		if n.target != nil && n.target.id == id && n.target.isRunning() {
			return n.target
		}
	}
	return nil
}

// judge checks the rule FLOW (a): the client of an open flow got a reset that the flow's target did not send, while that
// target lives and had no disruption within the stable window.
func (l *lab) judge(f *flow, err error, lastDisruption time.Time) {
	if err != errReset || f.resetBy != "system" {
		return
	}
	t := l.findTarget(f.holder)
	if t == nil {
		l.logf("flow %s: reset; its target is gone", f.src)
		return
	}
	openedAt, isOpen := t.holds(f.key())
	if !isOpen || time.Since(lastDisruption) <= touchWindow {
		l.logf("flow %s: reset, excused", f.src)
		return
	}
	l.breach("FLOW: flow %s, open at %s since %.3f s, was reset by the system", f.src, t.id, openedAt.Sub(l.startedAt).Seconds())
}

// openFlows opens count flows from clients of their own and sends a first request on each. It returns the flows that work.
func (l *lab) openFlows(count int, route func([2]netip.AddrPort) netip.AddrPort) []*flow {
	flows := make([]*flow, count)
	var wg sync.WaitGroup
	for i := range count {
		l.clients++
		c := l.newClient(l.ip(2+l.clients/200, 1+l.clients%200))
		wg.Go(func() {
			f, err := c.open(40001, l.route(), route)
			if err != nil {
				l.logf("client %s: flow not opened: %v", c.ip, err)
				return
			}
			answer, err := f.request("first", 2500*time.Millisecond)
			if err != nil {
				l.logf("client %s: first request: %v", c.ip, err)
				return
			}
			f.holder = answer[:len(answer)-len(":first")]
			l.logf("client %s: flow open at %s", c.ip, f.holder)
			flows[i] = f
		})
	}
	wg.Wait()
	var open []*flow
	for _, f := range flows {
		if f != nil {
			open = append(open, f)
		}
	}
	return open
}

// useFlows sends a request on each flow and judges the result. It returns how many were answered.
func (l *lab) useFlows(flows []*flow, body string, lastDisruption time.Time) int {
	var wg sync.WaitGroup
	answers := make([]bool, len(flows))
	for i, f := range flows {
		wg.Go(func() {
			answer, err := f.request(body, 2500*time.Millisecond)
			if err != nil {
				l.logf("client %s: request %q on the flow at %s: %v %s", f.src, body, f.holder, err, f.resetBy)
				l.judge(f, err, lastDisruption)
				return
			}
			l.logf("client %s: answer %q", f.src, answer)
			answers[i] = answer == f.holder+":"+body
			if !answers[i] {
				l.breach("MIXED: client %s got %q instead of the answer of %s", f.src, answer, f.holder)
			}
		})
	}
	wg.Wait()
	count := 0
	for _, isAnswered := range answers {
		if isAnswered {
			count++
		}
	}
	return count
}
