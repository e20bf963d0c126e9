package scenario

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/gravitational/trace"
	"github.com/matryer/is"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
	"github.com/crocuslanding/crocuslanding/experiment/pkg/deployment"
	"github.com/crocuslanding/crocuslanding/landingctl/pkg/config"
)

const (
	operatorCount    = 5
	editsPerOperator = 8
)

// edit is what one operator did and learned.
type edit struct {
	base   uint64
	author string
	result editResult
}

type editResult uint8

const (
	editAccepted editResult = iota
	editConflict
	editUnknown
)

// register is the root as the model sees it.
type register struct {
	serial uint64
	author string
}

// newRootModel returns the model of a register that changes only by an edit of its present value.
func newRootModel() porcupine.Model {
	model := porcupine.NondeterministicModel{
		Init: func() []any { return []any{register{serial: 1, author: "experiment"}} },
		Step: func(state, input, _ any) []any {
			return stepRegister(state.(register), input)
		},
	}
	return model.ToModel()
}

func stepRegister(r register, input any) []any {
	switch op := input.(type) {
	case edit:
		return stepEdit(r, op)
	case register:
		if op == r {
			return []any{r}
		}
	}
	return nil
}

func stepEdit(r register, e edit) []any {
	after := register{serial: e.base + 1, author: e.author}
	switch e.result {
	case editAccepted:
		if r.serial == e.base {
			return []any{after}
		}
	case editConflict:
		if r.serial != e.base {
			return []any{r}
		}
	case editUnknown:
		if r.serial == e.base {
			return []any{r, after}
		}
		return []any{r}
	}
	return nil
}

// journal records operations for porcupine.
type journal struct {
	mu    sync.Mutex
	start time.Time
	ops   []porcupine.Operation
}

func (j *journal) now() int64 {
	return int64(time.Since(j.start))
}

func (j *journal) add(client int, begin int64, input any) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.ops = append(j.ops, porcupine.Operation{ClientId: client, Input: input, Call: begin, Output: nil, Return: j.now()})
}

func TestAcceptedListsNeverRevertAndReachEveryBalancer(t *testing.T) {
	for s := *seed; s < *seed+*runs; s++ {
		t.Run(fmt.Sprintf("seed=%d", s), func(t *testing.T) { runEdits(t, s) })
	}
}

func runEdits(t *testing.T, seed uint64) {
	t.Helper()
	is := is.New(t)
	d := start(t, deployment.NewPlan(newDesk(1)).WithSeed(seed))
	j := &journal{start: time.Now()}
	stop := make(chan struct{})
	var background, operators sync.WaitGroup
	background.Go(func() { makeTrouble(d, seed, stop) })
	background.Go(func() { watchSerials(t, d, stop) })
	for i := range operatorCount {
		operators.Go(func() { operate(d, j, i, seed) })
	}
	operators.Wait()
	close(stop)
	background.Wait()
	d.Platform().SetFault(landing.NoFault{})

	last := readRoot(t, d)
	j.add(operatorCount, j.now(), register{serial: last.Serial(), author: last.Author()})
	t.Logf("seed %d: version %d in force after %d edits", seed, last.Serial(), operatorCount*editsPerOperator)
	is.True(porcupine.CheckOperations(newRootModel(), j.ops))
	is.NoErr(deployment.Await(func() bool { return allHave(d, last.Serial()) }))
}

func allHave(d *deployment.Deployment, serial uint64) bool {
	for _, b := range d.Balancers() {
		if b.Snapshot().Root().Serial() != serial {
			return false
		}
	}
	for _, n := range d.Nodes() {
		if n.Snapshot().Root().Serial() != serial {
			return false
		}
	}
	return true
}

func readRoot(t *testing.T, d *deployment.Deployment) landing.ListsRoot {
	t.Helper()
	client := d.NewPlatformClient()
	defer client.Close()
	var root landing.ListsRoot
	err := deployment.Await(func() bool {
		c, err := config.Read(context.Background(), client)
		root = c.Root()
		return err == nil
	})
	if err != nil {
		t.Fatal(err)
	}
	return root
}

// makeTrouble lets the platform fail in one way after another.
func makeTrouble(d *deployment.Deployment, seed uint64, stop <-chan struct{}) {
	random := rand.New(rand.NewPCG(seed, 99))
	troubles := []landing.PlatformFault{landing.NoFault{}, landing.WriteAnswersLost{}, landing.CallsFail{}, landing.WriteAnswersLost{}, landing.AnswersGarbled{}}
	for {
		d.Platform().SetFault(troubles[random.IntN(len(troubles))])
		timer := time.NewTimer(time.Duration(10+random.IntN(60)) * time.Millisecond)
		select {
		case <-timer.C:
		case <-stop:
			timer.Stop()
			return
		}
	}
}

// watchSerials fails the test when any balancer goes back to older lists.
func watchSerials(t *testing.T, d *deployment.Deployment, stop <-chan struct{}) {
	t.Helper()
	highest := map[string]uint64{}
	ticker := time.NewTicker(time.Millisecond)
	defer ticker.Stop()
	for {
		select {
		case <-stop:
			return
		case <-ticker.C:
		}
		for _, b := range d.Balancers() {
			serial := b.Snapshot().Root().Serial()
			if serial < highest[b.Front()] {
				t.Errorf("went back from %d to %d", highest[b.Front()], serial)
			}
			highest[b.Front()] = serial
		}
	}
}

// operate edits the lists again and again.
func operate(d *deployment.Deployment, j *journal, operator int, seed uint64) {
	client := d.NewPlatformClient()
	defer client.Close()
	random := rand.New(rand.NewPCG(seed, uint64(operator)))
	for i := range editsPerOperator {
		base, ok := readBase(d, j, operator)
		if !ok {
			continue
		}
		customers := base.Lists().Customers()
		customers[0] = customers[0].WithPrefixes(fmt.Sprintf("10.%d.%d.0/24", 100+operator, random.IntN(250)))
		next := base.Lists().WithCustomers(customers...)
		author := fmt.Sprintf("operator-%d-%d", operator, i)
		begin := j.now()
		_, err := config.Write(context.Background(), client, base, next, author, time.Now())
		j.add(operator, begin, edit{base: base.Root().Serial(), author: author, result: resultOf(err)})
	}
}

// readBase reads the lists until the platform answers, and records what was read.
func readBase(d *deployment.Deployment, j *journal, operator int) (config.Config, bool) {
	client := d.NewPlatformClient()
	defer client.Close()
	var base config.Config
	err := deployment.Await(func() bool {
		begin := j.now()
		read, err := config.Read(context.Background(), client)
		if err != nil || read.Root().Serial() == 0 {
			return false
		}
		j.add(operator, begin, register{serial: read.Root().Serial(), author: read.Root().Author()})
		base = read
		return true
	})
	return base, err == nil
}

func resultOf(err error) editResult {
	switch {
	case err == nil:
		return editAccepted
	case trace.IsCompareFailed(err):
		return editConflict
	default:
		return editUnknown
	}
}
