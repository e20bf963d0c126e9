package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Ports of every machine, as offsets from the fleet's base port. Each machine has a loopback address of its own.
const (
	portFront = iota
	portFleet
	portReady
	portControl
	portOutbound
	portApp
	portStore
	portMetrics
	portCount
)

// record writes record.txt: what was sent, answered and run, with the time since the start.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func (r *record) write(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%9.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// process is a balancer or a sidecar with its settings.
type process struct {
	name, program string
	settings      map[string]any
	platform      *proxy
	cmd           *exec.Cmd
	exited        chan struct{}
}

// node is a sidecar with its target.
type node struct {
	*process
	ip, zone, service string
	target            *target
	starts            int
}

// The bounds of the site grown/nosa-lb-grown.toml that the settings and the checks need.
const (
	configApply  = 5 * time.Second
	evacuate     = 5 * time.Second
	stableWindow = 5 * time.Second
	grace        = 6 * time.Second
)

// fleet is a small deployment: a store, balancers, and sidecars with targets.
type fleet struct {
	record    *record
	folder    string
	root      string
	net       int
	base      int
	store     *store
	balancers []*process
	nodes     []*node
	clients   int
	mu        sync.Mutex
}

// newFleet selects the addresses of a deployment.
func newFleet(r *record, root, folder string) (*fleet, error) {
	f := &fleet{record: r, root: root, folder: folder, net: 40 + os.Getpid()%180}
	for f.base = 20000 + os.Getpid()%10000; !f.isFree(); f.base += portCount {
		if f.base > 60000 {
			return nil, errors.New("no free ports")
		}
	}
	return f, nil
}

// startStore starts the store with the first configuration.
func (f *fleet) startStore(config map[string]any) error {
	s, err := newStore(f.at(f.ip(250, 1), portStore))
	if err != nil {
		return err
	}
	f.store = s
	f.configure(config)
	return nil
}

// isFree reports whether the ports are free on an address of the fleet.
func (f *fleet) isFree() bool {
	for p := range portCount {
		l, err := net.Listen("tcp4", fmt.Sprintf("0.0.0.0:%d", f.base+p))
		if err != nil {
			return false
		}
		_ = l.Close()
		u, err := net.ListenPacket("udp4", fmt.Sprintf("0.0.0.0:%d", f.base+p))
		if err != nil {
			return false
		}
		_ = u.Close()
	}
	return true
}

func (f *fleet) ip(subnet, host int) string {
	return fmt.Sprintf("127.%d.%d.%d", f.net, subnet, host)
}

func (f *fleet) at(ip string, port int) string {
	return fmt.Sprintf("%s:%d", ip, f.base+port)
}

// configure writes a configuration as the operator does.
func (f *fleet) configure(config map[string]any) {
	f.store.put("config", "main", config)
	f.record.write("operator: configuration version %v acknowledged", config["version"])
}

// platformFor starts a proxy to the store for one process.
func (f *fleet) platformFor(subnet, host int) (*proxy, error) {
	return newProxy(f.at(f.ip(subnet, host), portStore), f.at(f.ip(250, 1), portStore))
}

func (f *fleet) seeds() []string {
	var seeds []string
	for i := 1; i <= 3; i++ {
		seeds = append(seeds, f.at(f.ip(1, i), portControl))
	}
	return seeds
}

// addBalancer starts a balancer. The settings are those of deploy/balancer.json.template.
func (f *fleet) addBalancer(zone string) error {
	host := len(f.balancers) + 1
	ip := f.ip(1, host)
	p, err := f.platformFor(251, host)
	if err != nil {
		return err
	}
	name := fmt.Sprintf("edge-%s-%d", zone, host)
	b := &process{name: name, program: "balancer", platform: p, settings: map[string]any{
		"instance": name, "zone": zone, "front": f.at(ip, portFront), "readiness": f.at(ip, portReady),
		"fleet": f.at(ip, portFleet), "metrics": f.at(ip, portMetrics), "platform": p.listener.Addr().String(), "seeds": f.seeds(),
		"grace": grace.String(), "leave": "1700ms", "apply": configApply.String(), "exclude": evacuate.String(),
	}}
	f.balancers = append(f.balancers, b)
	return f.start(b)
}

// addNode starts a sidecar and its target. The settings are those of deploy/sidecar.json.template.
func (f *fleet) addNode(zone, service string) error {
	host := len(f.nodes) + 1
	ip := f.ip(2, host)
	p, err := f.platformFor(252, host)
	if err != nil {
		return err
	}
	name := fmt.Sprintf("side-%s-%d", zone, host)
	n := &node{ip: ip, zone: zone, service: service, process: &process{name: name, program: "sidecar", platform: p, settings: map[string]any{
		"instance": name, "zone": zone, "service": service, "front": f.at(ip, portFront), "outbound": f.at(ip, portOutbound),
		"local": f.at(ip, portControl), "upstream": f.at(ip, portApp), "readiness": f.at(ip, portReady),
		"fleet": f.at(ip, portFleet), "metrics": f.at(ip, portMetrics), "platform": p.listener.Addr().String(), "seeds": f.seeds(),
		"heartbeat": beatInterval.String(), "grace": grace.String(), "writes": 400,
	}}}
	f.nodes = append(f.nodes, n)
	if err := f.start(n.process); err != nil {
		return err
	}
	return f.startTarget(n)
}

// startTarget starts the next incarnation of a node's target.
func (f *fleet) startTarget(n *node) error {
	n.starts++
	id := fmt.Sprintf("i-%s-%d", n.name, n.starts)
	t, err := newTarget(f.record, id, n.service, n.zone, netip.MustParseAddrPort(f.at(n.ip, portApp)), netip.MustParseAddrPort(f.at(n.ip, portOutbound)), f.at(n.ip, portControl))
	n.target = t
	return err
}

// start starts the program with the command of the deploy file.
func (f *fleet) start(p *process) error {
	path := filepath.Join(f.folder, p.name+".json")
	b, err := json.Marshal(p.settings)
	if err != nil {
		return err
	}
	if err := os.WriteFile(path, b, 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(f.folder, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	p.cmd = exec.Command(filepath.Join(f.root, "target", p.program), "-settings", path)
	p.cmd.Dir, p.cmd.Stdout, p.cmd.Stderr = f.root, log, log
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.cmd.Start(); err != nil {
		return err
	}
	p.exited = make(chan struct{})
	go func(cmd *exec.Cmd, exited chan struct{}) {
		_ = cmd.Wait()
		close(exited)
	}(p.cmd, p.exited)
	f.record.write("%s started, process %d", p.name, p.cmd.Process.Pid)
	return nil
}

// kill ends a process with SIGKILL and waits for its end.
func (f *fleet) kill(p *process) {
	_ = p.cmd.Process.Kill()
	<-p.exited
	f.record.write("%s killed", p.name)
}

// stop sends SIGTERM and waits for the end of the process.
func (f *fleet) stop(p *process) {
	_ = p.cmd.Process.Signal(syscall.SIGTERM)
	f.record.write("%s gets SIGTERM", p.name)
	select {
	case <-p.exited:
	case <-time.After(grace):
		_ = p.cmd.Process.Kill()
		<-p.exited
	}
	f.record.write("%s ended", p.name)
}

// hasEnded reports whether a process ended.
func (p *process) hasEnded() bool {
	select {
	case <-p.exited:
		return true
	default:
		return false
	}
}

// close ends everything that the fleet started.
func (f *fleet) close() {
	for _, n := range f.nodes {
		if n.target != nil {
			n.target.crash()
		}
		_ = n.cmd.Process.Kill()
		<-n.exited
		n.platform.stop()
	}
	for _, b := range f.balancers {
		_ = b.cmd.Process.Kill()
		<-b.exited
		b.platform.stop()
	}
	if f.store != nil {
		f.store.stop()
	}
}

// front returns the address of balancer i to which the routers send packets.
func (f *fleet) front(i int) netip.AddrPort {
	return netip.MustParseAddrPort(f.at(f.ip(1, i+1), portFront))
}

// through sends all packets of a flow to balancer i.
func (f *fleet) through(i int) func() netip.AddrPort {
	return func() netip.AddrPort { return f.front(i) }
}

// open opens a flow to a route from a new client address.
func (f *fleet) open(route netip.AddrPort, via func() netip.AddrPort) (*flow, error) {
	f.mu.Lock()
	f.clients++
	n := f.clients
	f.mu.Unlock()
	local := netip.MustParseAddrPort(f.at(f.ip(10+n/250, 1+n%250), portFront))
	return openFlow(local, uint16(1024+n), route, via)
}

// isReady reports whether a balancer answers the routers' check with 200.
func (f *fleet) isReady(i int) bool {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	r, err := client.Get("http://" + f.at(f.ip(1, i+1), portReady) + "/v1/readiness")
	if err != nil {
		return false
	}
	_ = r.Body.Close()
	return r.StatusCode == http.StatusOK
}

// awaitServing waits until a flow to the route is served through every balancer, 20 s at most.
func (f *fleet) awaitServing(route netip.AddrPort) error {
	deadline := time.Now().Add(20 * time.Second)
	for i := range f.balancers {
		for {
			if time.Now().After(deadline) {
				return fmt.Errorf("no service through %s", f.balancers[i].name)
			}
			if f.isReady(i) {
				if fl, err := f.open(route, f.through(i)); err == nil {
					_, err := fl.request("warm-up", time.Second)
					fl.close()
					if err == nil {
						break
					}
				}
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	f.record.write("served through every balancer")
	return nil
}

// route returns a route of the configuration, as text in the platform's form, and its address.
func route(name, host string, port int, service string) map[string]any {
	return map[string]any{
		"name": name, "host": host, "path_prefix": fmt.Sprintf("/%d/", port), "service": service, "type": "safe",
		"timeout_ms": 2500, "aim_ms": 250, "priority": 2, "max_attempts": 3,
	}
}

// config returns a configuration.
func config(version int, idleTimeoutMs int, routes ...map[string]any) map[string]any {
	return map[string]any{
		"version": version, "routes": routes, "limits": map[string]any{"idle_timeout_ms": idleTimeoutMs},
		"services": []any{map[string]any{"name": "desk", "max_conns": 2000, "health_path": "/health", "cold_start_s": 2}},
	}
}
