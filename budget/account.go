package budget

import (
	"slices"
	"time"
)

// account holds the credits of a service.
type account struct {
	credits []time.Time // when they expire, in ascending order
	debts   []time.Time // when they lapse, in ascending order

	earned       float64   // fraction of a credit earned by requests
	slack        float64   // fraction of a credit of the slack
	accruedUntil time.Time // until when the slack has been added

	requests, retries counter
}

// deposit adds a credit, or pays a debt with it.
func (a *account) deposit(expires time.Time) {
	if len(a.debts) > 0 {
		a.debts = a.debts[1:]
		return
	}
	i, _ := slices.BinarySearchFunc(a.credits, expires, time.Time.Compare)
	a.credits = slices.Insert(a.credits, i, expires)
}

// withdraw takes the credit that expires first. It returns false if there is none.
func (a *account) withdraw() bool {
	if len(a.credits) == 0 {
		return false
	}
	a.credits = a.credits[1:]
	return true
}

// expire removes the credits and debts whose time has come.
func (a *account) expire(now time.Time) {
	for len(a.credits) > 0 && !now.Before(a.credits[0]) {
		a.credits = a.credits[1:]
	}
	for len(a.debts) > 0 && !now.Before(a.debts[0]) {
		a.debts = a.debts[1:]
	}
}

// accrue adds the credits of the slack at a rate per second, since the last call or for as long as they are valid.
func (a *account) accrue(rate float64, lifetime time.Duration, now time.Time) {
	from := a.accruedUntil
	if oldest := now.Add(-lifetime); from.Before(oldest) {
		from = oldest
	}
	if !from.Before(now) {
		return
	}
	a.accruedUntil = now
	fraction := a.slack + rate*now.Sub(from).Seconds()
	for missing := 1 - a.slack; fraction >= 1; missing++ {
		fraction--
		a.deposit(from.Add(time.Duration(missing / rate * float64(time.Second))).Add(lifetime))
	}
	a.slack = fraction
}
