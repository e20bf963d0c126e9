// Package clock provides a time that advances while the machine is suspended and does not follow
// jumps of the time of day.
//
// After a suspension, a process must know what has expired meanwhile, such as the confirmation of an
// enrollment. The monotonic clock that time.Now reads stands still during a suspension, and the time
// of day may be set forward or back by seconds, so neither shows reliably how much time has passed.
// The clock that includes suspension (CLOCK_BOOTTIME) is too expensive to read for each packet. So it
// is read only when the other two diverge.
package clock

import (
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// suspicionThreshold is the change of the difference between the time of day and the monotonic clock
// from which a suspension is suspected. It is far shorter than every period of validity in the
// programs, and longer than the time between the readings of the two clocks.
const suspicionThreshold = 10 * time.Millisecond

// Readings are the clocks of the machine.
type Readings struct {
	// Now returns the time of day and the reading of the monotonic clock, which stands still while the
	// machine is suspended.
	Now func() (timeOfDay time.Time, monotonic time.Duration)
	// Boot returns the reading of the clock that includes suspension. It costs a system call.
	Boot func() time.Duration
}

// Clock measures time including suspension. Its methods may be called from several goroutines.
type Clock struct {
	readings Readings
	// startedAt is the time of day at which the clock was made; monotonicStart and bootStart are the
	// readings at that time.
	startedAt      time.Time
	monotonicStart time.Duration
	bootStart      time.Duration
	// offset is the last difference, in nanoseconds, between the advance of the time of day and that of
	// the monotonic clock. It changes when the machine was suspended or the time of day was set.
	offset atomic.Int64
	// suspended is the time in nanoseconds for which the machine has been suspended.
	suspended atomic.Int64
}

// New returns a clock that starts at the current time of day.
func New(r Readings) *Clock {
	timeOfDay, monotonic := r.Now()
	return &Clock{readings: r, startedAt: timeOfDay, monotonicStart: monotonic, bootStart: r.Boot()}
}

// Now returns the time at which the clock was made plus the time that has passed since, including
// suspension. It must be compared only with times of the same clock, from which the time of day
// differs once that has been set.
func (c *Clock) Now() time.Time {
	timeOfDay, monotonic := c.readings.Now()
	passed := monotonic - c.monotonicStart
	offset := timeOfDay.Sub(c.startedAt) - passed
	if (offset - time.Duration(c.offset.Load())).Abs() > suspicionThreshold {
		// The offset is stored after the measurement, so that other goroutines do not use the old
		// measurement together with the new offset.
		c.measureSuspension()
		c.offset.Store(int64(offset))
	}
	return c.startedAt.Add(passed + time.Duration(c.suspended.Load()))
}

// measureSuspension updates the time for which the machine has been suspended. The clock that includes
// suspension is read first: a delay between the two readings then makes the result too small, never
// too large, and the largest result counts.
func (c *Clock) measureSuspension() {
	boot := c.readings.Boot()
	_, monotonic := c.readings.Now()
	measured := int64((boot - c.bootStart) - (monotonic - c.monotonicStart))
	for {
		known := c.suspended.Load()
		if measured <= known || c.suspended.CompareAndSwap(known, measured) {
			return
		}
	}
}

// process is the clock of this process.
var process = New(systemReadings())

// Now returns the time of the clock of this process.
func Now() time.Time {
	return process.Now()
}

// Since returns the time that has passed since t, a time of the clock of this process.
func Since(t time.Time) time.Duration {
	return Now().Sub(t)
}

// systemReadings returns the clocks of the operating system.
func systemReadings() Readings {
	processStart := time.Now()
	return Readings{
		Now: func() (time.Time, time.Duration) {
			now := time.Now()
			return now.Round(0), now.Sub(processStart) // Round removes the monotonic reading
		},
		Boot: readBootTime,
	}
}

// readBootTime returns the time since the machine was started, including suspension.
func readBootTime() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		// Linux has had this clock since 2.6.39. Without it, no suspension can be noticed.
		return 0
	}
	return time.Duration(t.Nano())
}
