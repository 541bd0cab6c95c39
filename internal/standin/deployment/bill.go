package deployment

import (
	"time"

	"github.com/dandelionlift/dandelionlift/internal/version/configuration"
	"github.com/dandelionlift/dandelionlift/internal/version/identity"
	"github.com/dandelionlift/dandelionlift/internal/version/unit"
)

// life is the time in which an endpoint was paid for.
type life struct {
	zone        identity.Zone
	class       identity.Class
	reclaimable bool
	started     time.Time
	// ended is zero while the endpoint runs.
	ended time.Time
}

// endLife notes when an endpoint ended; mu is held.
func (d *Deployment) endLife(host identity.Host) {
	l, ok := d.lives[host]
	if ok && l.ended.IsZero() {
		l.ended = time.Now()
		d.lives[host] = l
	}
}

// Bill is what all endpoints cost until now at the configuration's prices.
func (d *Deployment) Bill(c configuration.Configuration) unit.Money {
	d.mu.Lock()
	defer d.mu.Unlock()
	var total unit.Money
	for _, l := range d.lives {
		price, _ := c.Price(l.zone, l.class)
		hourly := price.OnDemand
		if l.reclaimable {
			hourly = price.Reclaimable
		}
		end := l.ended
		if end.IsZero() {
			end = time.Now()
		}
		total += unit.Money(float64(hourly) * end.Sub(l.started).Hours())
	}
	return total
}
