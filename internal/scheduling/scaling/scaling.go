// Package scaling decides how many replicas of an upstream to order in each availability zone, on demand and as spot
// replicas, so that callers are served on time at the least price. It performs no I/O, starts no goroutines and takes
// the time as an argument.
//
// Spot replicas cost a fraction but may be reclaimed, all of a zone at once. The planner therefore orders spot replicas
// as the reserve for bursts and losses, and returns on-demand replicas in exchange for spot replicas that serve, down to
// a base that carries the load of a zone whose spot replicas are reclaimed until others have booted.
package scaling

import (
	"time"

	"github.com/rotisserie/eris"
)

// Settings are those of an upstream.
type Settings struct {
	Min, Max   int                // replicas in a zone, of both kinds together
	Boot       time.Duration      // from an order until a new replica serves
	SpotPrice  float64            // of a spot replica, as a fraction of the price on demand; 0 or at least 1: none are ordered
	ZonePrices map[string]float64 // of a replica-second on demand; zones without replicas may be listed
	// Invalid says why the configured settings could not be read; empty if they could.
	Invalid string
}

// maxReplicas bounds Settings.Max far above real numbers, so that calculations cannot overflow.
const maxReplicas = 1 << 20

// maxPrice bounds prices likewise.
const maxPrice = 1e12

// Validate returns what makes the settings unusable, whatever the zones.
func (s *Settings) Validate() error {
	switch {
	case s.Invalid != "":
		return eris.Errorf("scaling: %s", s.Invalid)
	case s.Min < 0:
		return eris.Errorf("scaling: min %d is negative", s.Min)
	case s.Max < 1 || s.Max > maxReplicas:
		return eris.Errorf("scaling: max %d is not within 1 and %d", s.Max, maxReplicas)
	case s.Min > s.Max:
		return eris.Errorf("scaling: min %d is over max %d", s.Min, s.Max)
	case s.Boot < 0:
		return eris.Errorf("scaling: boot time %v is negative", s.Boot)
	case !validPrice(s.SpotPrice):
		return eris.Errorf("scaling: invalid spot price %v", s.SpotPrice)
	}
	for zone, price := range s.ZonePrices {
		if !validPrice(price) {
			return eris.Errorf("scaling: invalid price %v of zone %q", price, zone)
		}
	}
	return nil
}

// validPrice reports whether a price is a number that is neither negative nor too large to calculate with.
func validPrice(price float64) bool { return price >= 0 && price <= maxPrice }

// usesSpot reports whether spot replicas save anything.
func (s *Settings) usesSpot() bool { return s.SpotPrice > 0 && s.SpotPrice < 1 }

// ZoneView is what is known of the replicas of a zone.
type ZoneView struct {
	Zone           string
	OnDemand, Spot int // registered and not leaving
	LeavingSpot    int
	// Busy is the work in progress or waiting there, in replicas: for each replica, the share of its slots in use or of its
	// recent time spent on prompts, whichever is higher. It exceeds the number of replicas when requests queue.
	Busy float64
}

// busy returns Busy bounded to numbers that calculations can use.
func (v *ZoneView) busy() float64 {
	if !(v.Busy > 0) { // includes NaN
		return 0
	}
	return min(v.Busy, maxReplicas)
}

// View is what is known of the replicas of an upstream.
type View struct {
	Zones   []ZoneView
	Partial bool    // the host has just started or is cut off, or the store was restored: replicas may be missing
	Refused float64 // share of recent requests refused for want of capacity, from 0 to 1
}

// Order asks for a number of replicas of one kind in a zone, including those that exist.
type Order struct {
	Zone     string
	Spot     bool
	Replicas int
}

// Outcome is what became of an order.
type Outcome int

const (
	// Ordered means that the platform accepted the order.
	Ordered Outcome = iota
	// NoneAvailable means that the platform has no capacity of the kind in the zone; the order has no effect.
	NoneAvailable
	// NotAnswered means that the order may have been executed or may still be.
	NotAnswered
)
