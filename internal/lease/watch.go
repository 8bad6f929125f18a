package lease

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/hashicorp/consul/api"

	"vetchwood/internal/control"
	"vetchwood/internal/custody"
	"vetchwood/logic"
)

// watch follows all members and leases by blocking queries.
func (h *Manager) watch(ctx context.Context) {
	index, failures := uint64(0), 0
	for ctx.Err() == nil {
		wait, cancel := context.WithTimeout(ctx, 2*h.terms.TTL)
		pairs, meta, err := h.client.KV().List(h.terms.KeyPrefix+"/", (&api.QueryOptions{WaitIndex: index, WaitTime: h.terms.TTL}).WithContext(wait))
		cancel()
		if err != nil {
			if failures++; ctx.Err() == nil {
				h.log.Warn("lease.watch_failed", "error", err, "failures", failures)
			}
			index = 0
			select {
			case <-ctx.Done():
			case <-time.After(time.Duration(float64(min(failures, 8)) * (0.5 + rand.Float64()) * float64(50*time.Millisecond))):
			}
			continue
		}
		failures = 0
		if meta.LastIndex < index {
			index = 0 // it started over; the next query must not block
		} else {
			index = meta.LastIndex
		}
		h.post(ctx, h.board(meta.LastIndex, pairs))
	}
}

func (h *Manager) board(index uint64, pairs api.KVPairs) custody.Snapshot {
	b := custody.Snapshot{Index: index}
	peers := []Peer{}
	for _, p := range pairs {
		if l, is := h.lease(p); is {
			b.Leases = append(b.Leases, l)
			continue
		}
		name, is := strings.CutPrefix(p.Key, h.key("members")+"/")
		if !is || p.Session == "" {
			continue
		}
		peer := Peer{}
		if err := json.Unmarshal(p.Value, &peer); err != nil {
			h.log.Warn("lease.member_unreadable", "name", name, "error", err)
		}
		peer.Name, peer.Session = name, p.Session
		b.Members = append(b.Members, custody.Member{Name: custody.DirectorName(name), Session: p.Session, Leaving: peer.Leaving})
		if name != h.me.Name {
			peers = append(peers, peer)
		}
	}
	h.peers.Store(&peers)
	return b
}

// most is how many operations go in one transaction; a check and a write are needed for each record.
const most = 64

// read looks up the lines that earlier holders left. Where the store does not answer, the slice is given without.
func (h *Manager) read(ctx context.Context, fences map[logic.TableID]uint64) {
	r := read{fences: fences, records: map[logic.TableID]*control.SliceRecord{}}
	var ops api.TxnOps
	ask := func() {
		for tries := 0; tries < 2 && len(ops) > 0; tries++ {
			wait, cancel := h.patience(ctx)
			ok, res, _, err := h.client.Txn().Txn(ops, (&api.QueryOptions{}).WithContext(wait))
			cancel()
			if err != nil || !ok || res == nil {
				h.log.Warn("lease.records_not_read", "error", err, "slices", len(ops))
				continue
			}
			for _, x := range res.Results {
				var rec control.SliceRecord
				if x.KV == nil || len(x.KV.Value) == 0 {
					continue
				}
				if err := json.Unmarshal(x.KV.Value, &rec); err != nil {
					h.log.Warn("lease.record_unreadable", "key", x.KV.Key, "error", err)
					continue
				}
				r.records[rec.Slice] = &rec
			}
			break
		}
		ops = nil
	}
	for t := range fences {
		if ops = append(ops, &api.TxnOp{KV: &api.KVTxnOp{Verb: api.KVGetOrEmpty, Key: h.recordKey(t)}}); len(ops) == most {
			ask()
		}
	}
	ask()
	h.post(ctx, r)
}

// give tells the director of slices, with what was found of them, if they are still held.
func (h *Manager) give(r read) {
	holds := h.keeper.Held()
	var all control.SliceGrants
	for t, fence := range r.fences {
		if holds[custody.Slice(t)] == custody.Fence(fence) {
			all.Grants = append(all.Grants, control.SliceGrant{Slice: t, Fence: fence, Record: r.records[t]})
		}
	}
	if len(all.Grants) > 0 {
		h.tell(all)
	}
}

// write puts records into the store, each behind a check that the slice is still this session's: a director that was
// deposed and does not know can't write over its successor's.
func (h *Manager) write(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-h.more:
		}
		for ctx.Err() == nil && h.writeSome(ctx) {
			select {
			case <-ctx.Done():
			case <-time.After(10 * time.Millisecond):
			}
		}
	}
}

// flush writes all that waits, once.
func (h *Manager) flush(ctx context.Context) {
	for tries := 0; tries < 8 && h.writeSome(ctx); tries++ {
	}
}

// writeSome writes as many records as go at once; false if there are none.
func (h *Manager) writeSome(ctx context.Context) bool {
	h.mu.Lock()
	id := h.session
	batch := map[logic.TableID]control.SliceRecord{}
	for t, r := range h.records {
		if batch[t] = r; len(batch) == most/2 {
			break
		}
	}
	for t := range batch {
		delete(h.records, t)
	}
	h.mu.Unlock()
	if len(batch) > 0 {
		h.put(ctx, id, batch)
	}
	return len(batch) > 0
}

func (h *Manager) put(ctx context.Context, id string, batch map[logic.TableID]control.SliceRecord) {
	for range 3 {
		var ops api.TxnOps
		var of []logic.TableID
		for t, r := range batch {
			text, err := json.Marshal(r)
			if err != nil {
				h.log.Error("lease.record_unwritable", "slice", int(t), "error", err)
				continue
			}
			ops = append(ops, &api.TxnOp{KV: &api.KVTxnOp{Verb: api.KVCheckSession, Key: h.sliceKey(custody.Slice(t)), Session: id}},
				&api.TxnOp{KV: &api.KVTxnOp{Verb: api.KVSet, Key: h.recordKey(t), Value: text}})
			of = append(of, t, t)
		}
		if len(ops) == 0 {
			return
		}
		wait, cancel := h.patience(ctx)
		ok, res, _, err := h.client.Txn().Txn(ops, (&api.QueryOptions{}).WithContext(wait))
		cancel()
		switch {
		case ctx.Err() != nil || ok:
			return
		case err != nil || res == nil:
			h.again(batch)
			select {
			case <-ctx.Done():
			case <-time.After(h.terms.TTL / 8):
			}
			return
		}
		for _, e := range res.Errors { // not ours any more
			if e.OpIndex < len(of) {
				delete(batch, of[e.OpIndex])
			}
		}
	}
}

// again puts back what was not written, but for what has changed since.
func (h *Manager) again(batch map[logic.TableID]control.SliceRecord) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for t, r := range batch {
		if _, newer := h.records[t]; !newer {
			h.records[t] = r
		}
	}
	select {
	case h.more <- struct{}{}:
	default:
	}
}
