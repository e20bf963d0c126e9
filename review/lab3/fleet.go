package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Offsets of the ports, which are the same on all machines, from the first one.
const (
	portFront = iota
	portReady
	portControl
	portFleet
	portOutbound
	portApp
	portStore
	portMetrics
	portCount
)

// balancers is the number of balancers.
const balancers = 3

// zoneOf returns the zone of the balancer or side machine i.
func zoneOf(i int) string {
	return []string{"zone-a", "zone-b", "zone-c"}[i%3]
}

// fleet is a small deployment: processes of the project on loopback addresses, and stand-ins around them.
type fleet struct {
	folder, programs string
	net, port        int
	store            *store
	router           *router
	clients          *clientHost
	mu               sync.Mutex
	targets          []*target
	running          map[string]*exec.Cmd
	exited           map[string]chan struct{}
	record           *os.File
	startedAt        time.Time
	onRun            func(t *target, flow [2]netip.AddrPort, request string)
	onOpening        func(t *target, flow [2]netip.AddrPort)
}

// newFleet starts the store, and picks free ports.
func newFleet(programs, recordPath string) (*fleet, error) {
	folder, err := os.MkdirTemp("", "lab3-")
	if err != nil {
		return nil, err
	}
	record, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	f := &fleet{
		folder: folder, programs: programs, running: map[string]*exec.Cmd{}, exited: map[string]chan struct{}{}, record: record, startedAt: time.Now(),
		onRun: func(*target, [2]netip.AddrPort, string) {}, onOpening: func(*target, [2]netip.AddrPort) {},
	}
	for range 50 {
		f.net, f.port = 20+rand.IntN(200), 20000+rand.IntN(8000)
		if f.arePortsFree() {
			f.store, err = newStore(f.addr(200, portStore), f.logf)
			return f, err
		}
	}
	return nil, fmt.Errorf("no free ports")
}

func (f *fleet) arePortsFree() bool {
	for offset := range portCount {
		tcp, err := net.Listen("tcp4", f.addr(1, offset))
		if err != nil {
			return false
		}
		_ = tcp.Close()
		udp, err := net.ListenPacket("udp4", f.addr(1, offset))
		if err != nil {
			return false
		}
		_ = udp.Close()
	}
	return true
}

// addr returns the address of a port on a machine.
func (f *fleet) addr(machine, offset int) string {
	return fmt.Sprintf("127.%d.0.%d:%d", f.net, machine, f.port+offset)
}

func (f *fleet) addrPort(machine, offset int) netip.AddrPort {
	return netip.MustParseAddrPort(f.addr(machine, offset))
}

// route returns the address of a route of the configuration.
func (f *fleet) route(n int) netip.AddrPort {
	return netip.MustParseAddrPort(fmt.Sprintf("127.%d.9.%d:443", f.net, n))
}

// logf writes a line with the time since the start to the record.
func (f *fleet) logf(format string, args ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	fmt.Fprintf(f.record, "%8.3f %s\n", time.Since(f.startedAt).Seconds(), fmt.Sprintf(format, args...))
}

// startProcess starts a program of the project with these settings, as the deploy file does.
func (f *fleet) startProcess(program, name string, settings map[string]any) error {
	body, _ := json.Marshal(settings)
	path := filepath.Join(f.folder, name+".json")
	if err := os.WriteFile(path, body, 0o600); err != nil {
		return err
	}
	output, err := os.OpenFile(filepath.Join(f.folder, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(filepath.Join(f.programs, program), "-settings", path)
	cmd.Stdout, cmd.Stderr = output, output
	if err := cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	f.mu.Lock()
	f.running[name], f.exited[name] = cmd, done
	f.mu.Unlock()
	go func() { _ = cmd.Wait(); _ = output.Close(); close(done) }()
	f.logf("process %s starts", name)
	return nil
}

// seeds are the control addresses of the balancers. The project uses only their IP addresses.
func (f *fleet) seeds() []string {
	var list []string
	for i := range balancers {
		list = append(list, f.addr(1+i, portControl))
	}
	return list
}

func (f *fleet) startBalancer(i int) error {
	m := 1 + i
	return f.startProcess("balancer", fmt.Sprintf("edge-%d", i), map[string]any{
		"instance": fmt.Sprintf("edge-%d", i), "zone": zoneOf(i), "front": f.addr(m, portFront), "readiness": f.addr(m, portReady), "fleet": f.addr(m, portFleet),
		"metrics": f.addr(m, portMetrics), "platform": f.addr(200, portStore), "seeds": f.seeds(), "grace": "6s", "leave": "1700ms", "apply": "5000ms", "exclude": "5000ms",
	})
}

func (f *fleet) startSidecar(i int, service string) error {
	m := 20 + i
	return f.startProcess("sidecar", fmt.Sprintf("side-%d", i), map[string]any{
		"instance": fmt.Sprintf("side-%d", i), "zone": zoneOf(i), "service": service, "front": f.addr(m, portFront), "outbound": f.addr(m, portOutbound), "local": f.addr(m, portControl),
		"upstream": f.addr(m, portApp), "readiness": f.addr(m, portReady), "fleet": f.addr(m, portFleet), "metrics": f.addr(m, portMetrics), "platform": f.addr(200, portStore),
		"seeds": f.seeds(), "heartbeat": "770ms", "grace": "6s", "writes": 1200,
	})
}

// startSide starts a target and the sidecar beside it.
func (f *fleet) startSide(i int, service string) error {
	m := 20 + i
	t := &target{
		id: fmt.Sprintf("i-%d-%04x", i, rand.IntN(1<<16)), service: service, zone: zoneOf(i), app: f.addrPort(m, portApp), outbound: f.addrPort(m, portOutbound),
		control: f.addr(m, portControl), onRun: f.onRun, onOpening: f.onOpening,
	}
	if err := f.startSidecar(i, service); err != nil {
		return err
	}
	time.Sleep(50 * time.Millisecond)
	if err := t.start(); err != nil {
		return err
	}
	f.targets = append(f.targets, t)
	f.logf("target %s has started in %s", t.id, t.zone)
	return nil
}

// stopProcess sends SIGTERM, and SIGKILL after the grace period.
func (f *fleet) stopProcess(name string) {
	f.mu.Lock()
	cmd, done := f.running[name], f.exited[name]
	f.mu.Unlock()
	f.logf("process %s gets SIGTERM", name)
	_ = cmd.Process.Signal(syscall.SIGTERM)
	select {
	case <-done:
	case <-time.After(6 * time.Second):
		_ = cmd.Process.Kill()
		<-done
	}
	f.logf("process %s has ended", name)
}

// startRouting starts the router and the clients' machine.
func (f *fleet) startRouting() error {
	var fronts []netip.AddrPort
	var readiness []string
	for i := range balancers {
		fronts = append(fronts, f.addrPort(1+i, portFront))
		readiness = append(readiness, f.addr(1+i, portReady))
	}
	f.router = newRouter(fronts, readiness)
	var err error
	f.clients, err = newClientHost(f.addrPort(150, portFront), f.router)
	return err
}

// stop ends all processes. It copies their logs into the folder LOGS if that is set.
func (f *fleet) stop() {
	f.mu.Lock()
	var processes []*exec.Cmd
	for _, cmd := range f.running {
		processes = append(processes, cmd)
	}
	f.mu.Unlock()
	for _, cmd := range processes {
		_ = cmd.Process.Kill()
	}
	for _, done := range f.exited {
		<-done
	}
	for _, t := range f.targets {
		t.close()
	}
	if folder := os.Getenv("LOGS"); folder != "" {
		_ = os.CopyFS(folder, os.DirFS(f.folder))
	}
	_ = os.RemoveAll(f.folder)
	_ = f.record.Close()
}
