package membership

import "time"

const (
	maxPings          = 31          // largest number of members that are pinged in one round
	pingRoundInterval = time.Second // time after which a round without a majority is repeated
)

// pingRound pings members after a pause of this process, to learn whether they still respond. It ends once a majority has responded.
type pingRound struct {
	active    bool            // whether the process was paused and no majority has responded since then
	startedAt time.Duration   // time of the newest round
	responded map[string]bool // whether a member responded, by ID, for the members that were pinged
}

// startPingRound pings all members that are alive, or maxPings of them at random.
func (t *Table) startPingRound() {
	t.pings.startedAt = t.now
	clear(t.pings.responded)
	var ids []string
	for _, peer := range t.peersByID() {
		if peer.State == Alive {
			ids = append(ids, peer.ID)
		}
	}
	if len(ids) == 0 { // no other member was alive that could have continued without this one
		t.pings.active = false
		return
	}
	t.rng.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
	for _, id := range ids[:min(len(ids), maxPings)] {
		t.pings.responded[id] = false
		t.addAction(Action{Kind: Ping, ID: id})
	}
}

// HandlePingResult handles the result of Ping: ok says whether the member responded.
func (t *Table) HandlePingResult(id string, ok bool) {
	if _, wasAsked := t.pings.responded[id]; !wasAsked || !ok {
		return
	}
	t.pings.responded[id] = true
	if t.pings.active && t.pings.hasMajority() {
		t.pings.active = false
		t.reportChanges()
	}
}

// hasMajority reports whether more than half of the pinged members and this one, which counts as responded, have responded.
func (r *pingRound) hasMajority() bool {
	responses := 0
	for _, responded := range r.responded {
		if responded {
			responses++
		}
	}
	return 2*(responses+1) > len(r.responded)+1
}
