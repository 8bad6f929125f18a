package lease

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/hashicorp/consul/api"

	"vetchwood/internal/control"
	"vetchwood/internal/ownership"
	"vetchwood/logic"
)

// watchStore follows all members and leases by blocking queries and reports each snapshot to the coordinator.
func (m *Manager) watchStore(ctx context.Context) {
	index, failures := uint64(0), 0
	for ctx.Err() == nil {
		reqCtx, cancel := context.WithTimeout(ctx, 2*m.config.TTL)
		pairs, meta, err := m.client.KV().List(m.config.KeyPrefix+"/", (&api.QueryOptions{WaitIndex: index, WaitTime: m.config.TTL}).WithContext(reqCtx))
		cancel()
		if err != nil {
			if failures++; ctx.Err() == nil {
				m.log.Warn("lease.watch_failed", "error", err, "failures", failures)
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
			index = 0 // the store restarted with a lower index; the next query must not block
		} else {
			index = meta.LastIndex
		}
		m.enqueue(ctx, m.parseSnapshot(meta.LastIndex, pairs))
	}
}

// parseSnapshot returns the members and leases among the pairs, and updates the list of peers.
func (m *Manager) parseSnapshot(index uint64, pairs api.KVPairs) ownership.Snapshot {
	snapshot := ownership.Snapshot{Index: index}
	peers := []Peer{}
	for _, p := range pairs {
		if l, ok := m.parseLease(p); ok {
			snapshot.Leases = append(snapshot.Leases, l)
			continue
		}
		name, isMember := strings.CutPrefix(p.Key, m.key("members")+"/")
		if !isMember || p.Session == "" {
			continue
		}
		peer := Peer{}
		if err := json.Unmarshal(p.Value, &peer); err != nil {
			m.log.Warn("lease.member_unreadable", "name", name, "error", err)
		}
		peer.Name, peer.Session = name, p.Session
		snapshot.Members = append(snapshot.Members, ownership.Member{Name: ownership.DirectorName(name), Session: p.Session, Leaving: peer.Leaving})
		if name != m.self.Name {
			peers = append(peers, peer)
		}
	}
	m.peers.Store(&peers)
	return snapshot
}

// maxTxnOps is Consul's published limit of operations in a transaction. Writing a record takes two: a check and a
// write.
const maxTxnOps = 64

// readRecords reads the records that the previous owners of the granted slices stored. If the store does not answer,
// the slice is granted without a record.
func (m *Manager) readRecords(ctx context.Context, fences map[logic.TableID]uint64) {
	read := recordsRead{fences: fences, records: map[logic.TableID]*control.SliceRecord{}}
	var ops api.TxnOps
	readBatch := func() {
		for tries := 0; tries < 2 && len(ops) > 0; tries++ {
			reqCtx, cancel := m.requestContext(ctx)
			ok, res, _, err := m.client.Txn().Txn(ops, (&api.QueryOptions{}).WithContext(reqCtx))
			cancel()
			if err != nil || !ok || res == nil {
				m.log.Warn("lease.records_not_read", "error", err, "slices", len(ops))
				continue
			}
			for _, x := range res.Results {
				var rec control.SliceRecord
				if x.KV == nil || len(x.KV.Value) == 0 {
					continue
				}
				if err := json.Unmarshal(x.KV.Value, &rec); err != nil {
					m.log.Warn("lease.record_unreadable", "key", x.KV.Key, "error", err)
					continue
				}
				read.records[rec.Slice] = &rec
			}
			break
		}
		ops = nil
	}
	for t := range fences {
		if ops = append(ops, &api.TxnOp{KV: &api.KVTxnOp{Verb: api.KVGetOrEmpty, Key: m.recordKey(t)}}); len(ops) == maxTxnOps {
			readBatch()
		}
	}
	readBatch()
	m.enqueue(ctx, read)
}

// notifyGrants grants slices to the director, with the records that were found, if they are still held.
func (m *Manager) notifyGrants(r recordsRead) {
	held := m.coordinator.Held()
	var batch control.SliceGrants
	for t, fence := range r.fences {
		if held[ownership.Slice(t)] == ownership.Fence(fence) {
			batch.Grants = append(batch.Grants, control.SliceGrant{Slice: t, Fence: fence, Record: r.records[t]})
		}
	}
	if len(batch.Grants) > 0 {
		m.notify(batch)
	}
}

// writeRecords writes pending records to the store until the context ends. Each write is in a transaction with a check
// that this session still holds the slice, so that a deposed director that has not noticed cannot overwrite its
// successor's record.
func (m *Manager) writeRecords(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-m.recordsPending:
		}
		for ctx.Err() == nil && m.writeBatch(ctx) {
			select {
			case <-ctx.Done():
			case <-time.After(10 * time.Millisecond):
			}
		}
	}
}

// flushRecords writes the pending records, in up to 8 batches.
func (m *Manager) flushRecords(ctx context.Context) {
	for tries := 0; tries < 8 && m.writeBatch(ctx); tries++ {
	}
}

// writeBatch writes as many pending records as fit in a transaction. It reports whether there were any.
func (m *Manager) writeBatch(ctx context.Context) bool {
	m.mu.Lock()
	id := m.sessionID
	batch := map[logic.TableID]control.SliceRecord{}
	for t, r := range m.pendingRecords {
		if batch[t] = r; len(batch) == maxTxnOps/2 {
			break
		}
	}
	for t := range batch {
		delete(m.pendingRecords, t)
	}
	m.mu.Unlock()
	if len(batch) > 0 {
		m.storeBatch(ctx, id, batch)
	}
	return len(batch) > 0
}

// storeBatch writes a batch of records in one transaction. Records of slices that the session no longer holds are
// dropped, and the others sent again, up to 3 times in all. If the store does not answer, the batch is queued again.
func (m *Manager) storeBatch(ctx context.Context, id string, batch map[logic.TableID]control.SliceRecord) {
	for range 3 {
		var ops api.TxnOps
		var sliceOf []logic.TableID // by operation, its slice
		for t, r := range batch {
			text, err := json.Marshal(r)
			if err != nil {
				m.log.Error("lease.record_unwritable", "slice", int(t), "error", err)
				continue
			}
			ops = append(ops, &api.TxnOp{KV: &api.KVTxnOp{Verb: api.KVCheckSession, Key: m.sliceKey(ownership.Slice(t)), Session: id}},
				&api.TxnOp{KV: &api.KVTxnOp{Verb: api.KVSet, Key: m.recordKey(t), Value: text}})
			sliceOf = append(sliceOf, t, t)
		}
		if len(ops) == 0 {
			return
		}
		reqCtx, cancel := m.requestContext(ctx)
		ok, res, _, err := m.client.Txn().Txn(ops, (&api.QueryOptions{}).WithContext(reqCtx))
		cancel()
		switch {
		case ctx.Err() != nil || ok:
			return
		case err != nil || res == nil:
			m.requeueRecords(batch)
			select {
			case <-ctx.Done():
			case <-time.After(m.config.TTL / 8):
			}
			return
		}
		for _, e := range res.Errors { // these slices are no longer held by this session
			if e.OpIndex < len(sliceOf) {
				delete(batch, sliceOf[e.OpIndex])
			}
		}
	}
}

// requeueRecords puts unwritten records back into the queue, except those with a newer one there.
func (m *Manager) requeueRecords(batch map[logic.TableID]control.SliceRecord) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for t, r := range batch {
		if _, newer := m.pendingRecords[t]; !newer {
			m.pendingRecords[t] = r
		}
	}
	select {
	case m.recordsPending <- struct{}{}:
	default:
	}
}
