package fleetsim

import (
	"encoding/binary"
	"fmt"
	"hash/fnv"
	"slices"
	"time"

	"sabletally/internal/fleet/node"
	"sabletally/internal/fleet/replication"
)

// send sends a packet. While loss is above 0, the packet may be lost, duplicated or reordered.
func (w *World) send(from *member, p node.Packet) {
	to := w.byID[p.To]
	if to == nil {
		return
	}
	if w.plan.Defect == MissingFence {
		p.Replication = w.acknowledgeStaleWrites(from, to, p.Replication)
	}
	w.addToDigest(from.index, to.index, p)
	if w.isCut(from.index, to.index) || to.replicationOnlyUntil > w.now && len(p.Replication) == 0 || w.rng.Float64() < w.loss {
		return
	}
	copies := 1
	if w.rng.Float64() < w.loss {
		copies = 2
	}
	for range copies {
		delay := networkDelay + time.Duration(w.rng.Int64N(int64(delayJitter)))
		if w.rng.Float64() < w.loss { // the packet arrives after later ones
			delay += time.Duration(w.rng.Int64N(int64(2 * time.Second)))
		}
		w.after(delay, func() {
			if t := w.byID[p.To]; t != nil {
				w.runOrDefer(t, t.starts, func() { _ = t.core.Step(p) })
			}
		})
	}
}

// acknowledgeStaleWrites is the defect MissingFence: it replaces a replica's rejection of a deposed primary by an acknowledgement of the
// newest write of that primary.
func (w *World) acknowledgeStaleWrites(from, to *member, msgs []replication.Message) []replication.Message {
	msgs = slices.Clone(msgs)
	for i, m := range msgs {
		key := [3]int{from.index, to.index, m.Shard}
		reverseKey := [3]int{to.index, from.index, m.Shard}
		switch m.Kind {
		case replication.MessageWrite:
			w.lastWrites[key] = m
		case replication.MessageStaleBallot:
			if last, exists := w.lastWrites[reverseKey]; exists {
				msgs[i].Kind, msgs[i].Ballot, msgs[i].Sequence = replication.MessageWriteAck, last.Ballot, last.Sequence
			}
		}
	}
	return msgs
}

// addToDigest adds a packet to the digest of the history: its time, sender, receiver and content.
func (w *World) addToDigest(from, to int, p node.Packet) {
	h := fnv.New64a()
	var b [8]byte
	for _, v := range []uint64{w.digest, uint64(w.now), uint64(from), uint64(to), uint64(len(p.Raft)), uint64(len(p.Replication))} {
		binary.LittleEndian.PutUint64(b[:], v)
		h.Write(b[:])
	}
	h.Write(p.Raft)
	for _, m := range p.Replication {
		_, _ = fmt.Fprint(h, m.Kind, m.Shard, m.Ballot, m.Sequence)
	}
	w.digest = h.Sum64()
}

// Digest identifies a history: the same seed gives the same digest.
func (w *World) Digest() uint64 { return w.digest }
