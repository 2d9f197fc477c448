package admission

import (
	"math"
	"time"
)

const (
	// currentTime and usualTime are the time constants of an organisation's current and usual
	// rate of requests. Rushes last for seconds.
	currentTime = time.Second
	usualTime   = time.Minute
	// knownAfter is the time after which an organisation's usual rate is known.
	knownAfter = 5 * time.Second
	// rushFactor is the rate, in usual rates, beyond which requests count as a rush. Ordinary
	// loads vary by less.
	rushFactor = 2
	// minRush is the rate in requests per second below which nothing counts as a rush.
	minRush = 5
	// maxOrganisations bounds the organisations whose rates are known.
	maxOrganisations = 1024
)

// organisation holds the rates of one organisation's requests at this VM.
type organisation struct {
	since, at time.Time
	// current and usual are decayed numbers of requests.
	current, usual float64
	// credit is the share of requests beyond the usual load that is not counted yet.
	credit float64
}

// rushing counts a request and reports whether it exceeds the usual load of the organisation.
// c.mu must be held.
func (c *Controller) rushing(name string, now time.Time) bool {
	if name == "" {
		return false
	}
	o, ok := c.organisations[name]
	if !ok {
		if len(c.organisations) >= maxOrganisations {
			return false
		}
		o = &organisation{since: now, at: now}
		c.organisations[name] = o
	}
	return o.add(now)
}

func (o *organisation) add(now time.Time) bool {
	passed := max(now.Sub(o.at), 0)
	o.at = now
	o.current = o.current*math.Exp(-float64(passed)/float64(currentTime)) + 1
	o.usual = o.usual*math.Exp(-float64(passed)/float64(usualTime)) + 1
	known := now.Sub(o.since)
	if known < knownAfter {
		return false
	}
	// A decayed number is the rate times the part of the time constant that is filled.
	filled := usualTime.Seconds() * (1 - math.Exp(-float64(known)/float64(usualTime)))
	usual := max(rushFactor*o.usual/filled, minRush)
	if current := o.current / currentTime.Seconds(); current > usual {
		o.credit += 1 - usual/current
	}
	if o.credit < 1 {
		return false
	}
	o.credit--
	return true
}
