package clock

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// machine is a machine with three clocks that a test sets.
type machine struct {
	timeOfDay       time.Time
	monotonic, boot time.Duration
	bootReadings    int
}

func newMachine() *machine {
	return &machine{timeOfDay: time.Unix(1000, 0), monotonic: 7 * time.Second, boot: 90 * time.Second}
}

func (m *machine) readings() Readings {
	return Readings{
		Now: func() (time.Time, time.Duration) { return m.timeOfDay, m.monotonic },
		Boot: func() time.Duration {
			m.bootReadings++
			return m.boot
		},
	}
}

// run lets time pass while the machine runs.
func (m *machine) run(d time.Duration) {
	m.timeOfDay, m.monotonic, m.boot = m.timeOfDay.Add(d), m.monotonic+d, m.boot+d
}

// suspend lets time pass while the machine is suspended.
func (m *machine) suspend(d time.Duration) {
	m.timeOfDay, m.boot = m.timeOfDay.Add(d), m.boot+d
}

func ExampleClock() {
	m := newMachine()
	c := New(m.readings())
	start := c.Now()
	m.run(time.Second)
	m.suspend(3 * time.Second)
	fmt.Println(c.Now().Sub(start))
	// Output:
	// 4s
}

// Guards against a permission that seems to be valid after a suspension that was longer than its
// validity, because the monotonic clock stood still.
func TestNow_IncludesEachSuspension(t *testing.T) {
	is := is.New(t)
	m := newMachine()
	c := New(m.readings())
	start := c.Now()
	for range 3 {
		m.suspend(2 * time.Second)
		m.run(time.Second)
		c.Now()
	}
	is.Equal(c.Now().Sub(start), 9*time.Second)
}

// Guards against flows, permissions and silences that seem to be seconds older or younger after the
// time of day was set.
func TestNow_DoesNotFollowTimeOfDay(t *testing.T) {
	is := is.New(t)
	for _, jump := range []time.Duration{-20 * time.Second, 20 * time.Second} {
		m := newMachine()
		c := New(m.readings())
		start := c.Now()
		m.run(time.Second)
		m.timeOfDay = m.timeOfDay.Add(jump)
		is.Equal(c.Now().Sub(start), time.Second)
		m.suspend(3 * time.Second)
		is.Equal(c.Now().Sub(start), 4*time.Second)
	}
}

// A system call for each packet would be too expensive.
func TestNow_ReadsBootClockOnlyAfterChange(t *testing.T) {
	is := is.New(t)
	m := newMachine()
	c := New(m.readings())
	m.bootReadings = 0
	for range 1000 {
		m.run(time.Millisecond)
		c.Now()
	}
	is.Equal(m.bootReadings, 0)
	m.suspend(time.Second)
	c.Now()
	c.Now()
	is.Equal(m.bootReadings, 1)
}

// Guards against a time that runs ahead after the thread was stopped between the readings of two clocks.
func TestNow_DelayBetweenReadingsAddsNothing(t *testing.T) {
	is := is.New(t)
	m := newMachine()
	r := m.readings()
	readBoot := r.Boot
	r.Boot = func() time.Duration {
		boot := readBoot()
		m.run(500 * time.Millisecond)
		return boot
	}
	c := New(r)
	start := c.Now()
	m.timeOfDay = m.timeOfDay.Add(time.Hour) // makes Now read the boot clock
	before := m.monotonic
	is.True(c.Now().Sub(start) <= m.monotonic-before+500*time.Millisecond)
	is.Equal(c.suspended.Load(), int64(0))
}

func TestNow_OfProcessAdvances(t *testing.T) {
	is := is.New(t)
	start := Now()
	time.Sleep(2 * time.Millisecond)
	is.True(Since(start) >= 2*time.Millisecond)
	is.True(Since(start) < time.Minute)
}

// Guards against a packet that is admitted by an enrollment that lapsed during a suspension: while one
// goroutine measured the suspension, the others took the change of the time of day for measured.
func TestNow_IncludesSuspensionWhileItIsMeasured(t *testing.T) {
	is := is.New(t)
	m := newMachine()
	readings := m.readings()
	readBoot, isNested := readings.Boot, true
	var c *Clock
	var measuredBeside time.Time
	readings.Boot = func() time.Duration {
		if !isNested {
			isNested = true
			measuredBeside = c.Now() // as another goroutine would
		}
		return readBoot()
	}
	c = New(readings)
	start := c.Now()
	m.suspend(3 * time.Second)
	isNested = false
	is.Equal(c.Now().Sub(start), 3*time.Second)
	is.Equal(measuredBeside.Sub(start), 3*time.Second)
}
