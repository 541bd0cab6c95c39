package deployment

import (
	"time"

	"github.com/dandelionlift/dandelionlift/internal/version/configuration"
	"github.com/dandelionlift/dandelionlift/internal/version/identity"
	"github.com/dandelionlift/dandelionlift/internal/version/unit"
)

// billedPeriod is the time for which the cloud charges for an endpoint.
type billedPeriod struct {
	zone        identity.Zone
	class       identity.Class
	reclaimable bool
	started     time.Time
	// ended is zero while the endpoint runs.
	ended time.Time
}

// endBilling ends the billed period of a host's endpoint; the caller holds mu.
func (d *Deployment) endBilling(host identity.Host) {
	period, ok := d.billedPeriods[host]
	if ok && period.ended.IsZero() {
		period.ended = time.Now()
		d.billedPeriods[host] = period
	}
}

// Cost returns the cost of all endpoints so far at the configuration's prices.
func (d *Deployment) Cost(c configuration.Configuration) unit.Money {
	d.mu.Lock()
	defer d.mu.Unlock()
	var total unit.Money
	for _, period := range d.billedPeriods {
		price, _ := c.Price(period.zone, period.class)
		hourly := price.OnDemand
		if period.reclaimable {
			hourly = price.Reclaimable
		}
		end := period.ended
		if end.IsZero() {
			end = time.Now()
		}
		total += unit.Money(float64(hourly) * end.Sub(period.started).Hours())
	}
	return total
}
