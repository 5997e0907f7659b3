package drive

import (
	"context"
	"fmt"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/greengagelane/greengagelane/internal/moves"
	"github.com/greengagelane/greengagelane/pkg/jobs"
	"github.com/greengagelane/greengagelane/pkg/site"
	"github.com/greengagelane/greengagelane/platform"
)

// maxOrderConns is the number of orders sent at the same time: enough for the platform's limit of
// orders per second at its usual response time of a few milliseconds.
const maxOrderConns = 32

// recordOrders records the time of orders and returns the encoded record that has to be
// stored before they are sent, nil if it cannot be encoded.
func (m *mover) recordOrders(orders []moves.Order) []byte {
	now := time.Now()
	for _, o := range orders {
		m.orderedAt[o.Machine] = now
	}
	value, err := m.encodeOrders(now)
	if err != nil {
		logrus.WithError(err).Error("cannot encode the record of orders")
	}
	return value
}

// storeAndSend stores the record of the orders, then sends them unless the partition is being
// handed over by then, or the planner has withdrawn them as storing took too long.
func (m *mover) storeAndSend(ctx context.Context, orders []moves.Order, record []byte) {
	if len(orders) == 0 || len(record) == 0 {
		return
	}
	m.part.storeControlRecord(site.Record{Key: ordersKey, Value: record}, func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		for _, o := range orders {
			if !m.handingOver && m.planner.Dispatch(o) {
				go m.send(ctx, o)
			}
		}
	})
}

// encodeOrders returns the encoded record of recent orders.
func (m *mover) encodeOrders(now time.Time) ([]byte, error) {
	r := ordersRecord{OrderedAt: map[string]orderTimestamp{}}
	for machine, at := range m.orderedAt {
		age := now.Sub(at)
		if age > orderRetention {
			delete(m.orderedAt, machine)
			continue
		}
		r.OrderedAt[machine] = orderTimestamp{UnixMS: at.UnixMilli(), AgeMS: age.Milliseconds()}
	}
	return jobs.Encode(&r)
}

// errAuthorityEnded is the result of an order that is not sent, since another entry may be the mover.
var errAuthorityEnded = fmt.Errorf("the authority of the mover has ended: %w", site.ErrNotDone)

// send sends an order on one of the connections for orders. It waits until one is idle, and sends nothing if the authority
// of the mover has ended by then.
func (m *mover) send(ctx context.Context, o moves.Order) {
	var fleet *platform.Fleet
	select {
	case fleet = <-m.orderConns:
	case <-ctx.Done():
		return
	}
	defer func() {
		if ctx.Err() != nil {
			fleet.Close()
		}
		m.orderConns <- fleet
	}()
	var refusal site.Refusal
	var err error
	epoch := m.part.scheduler.Epoch
	switch {
	case m.part.authorityEnded(time.Now()):
		err = errAuthorityEnded
	case o.Kind == moves.Move:
		refusal, err = fleet.Move(ctx, o.Machine, o.Pool, epoch)
	default:
		refusal, err = fleet.Maintain(ctx, o.Machine, o.Wave, epoch)
	}
	logrus.WithError(err).WithFields(logrus.Fields{
		"machine": o.Machine, "pool": o.Pool, "wave": o.Wave, "refusal": refusal.String(), "epoch": epoch,
	}).Info("order sent for machine")
	if err == nil && refusal == site.RefusedFence {
		m.part.post(func(time.Time) { m.part.scheduler.MarkFenced() })
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.planner.HandleReply(time.Now(), o, refusal, err)
}
