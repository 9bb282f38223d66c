package balancer

import (
	"slices"

	"go.uber.org/zap"

	"sabletally/internal/hotrestart"
)

// This file refuses requests whose ID belongs to another request, and tells the other process of a hot restart which IDs are in use. Each
// process announces an ID before it begins the first attempt of its session.

const (
	// maxPeerRequestIDs bounds the IDs of open sessions of the other process. Further ones are not kept.
	maxPeerRequestIDs = 1 << 17
	// requestIDsPerMessage bounds the size of a message with IDs, each of which takes up to 21 bytes.
	requestIDsPerMessage = 4096
)

// requestIDAnnouncements are the changes of IDs that the other process has not been told.
type requestIDAnnouncements struct {
	open     []uint64 // IDs of new sessions that may run again later
	used     []uint64 // IDs of new sessions that must not run again once they may have run
	released []uint64 // IDs of removed sessions
}

// isForeignID reports whether another request has the ID of a client's request: one whose session is open in either process of a hot
// restart, or one that may have run and must not run again.
func (l *Loop) isForeignID(session *session) bool {
	id := session.request.ID
	if l.sessionsByClientID[id] != nil {
		return true
	}
	if _, open := l.peerRequestIDs[id]; open {
		return true
	}
	return l.policy.IsRepeat(session.policyRequest)
}

// announceRequestID announces the ID of a new session.
func (l *Loop) announceRequestID(session *session) {
	if l.otherProcess() == nil {
		return
	}
	if l.policy.MustRunOnce(session.policyRequest) {
		l.announcements.used = append(l.announcements.used, session.request.ID)
	} else {
		l.announcements.open = append(l.announcements.open, session.request.ID)
	}
}

// announceRelease announces, unless the ID has to be remembered, that a session has ended.
func (l *Loop) announceRelease(session *session) {
	if l.otherProcess() != nil {
		l.announcements.released = append(l.announcements.released, session.request.ID)
	}
}

// sendAnnouncements sends the announcements of this iteration of the loop to the other process.
func (l *Loop) sendAnnouncements() {
	a := l.announcements
	if len(a.open)+len(a.used)+len(a.released) == 0 {
		return
	}
	l.announcements = requestIDAnnouncements{}
	link := l.otherProcess()
	if link == nil {
		return
	}
	a.released = slices.DeleteFunc(a.released, func(id uint64) bool {
		return l.sessionsByClientID[id] != nil || l.policy.IsUsedRequestID(id)
	})
	l.sendRequestIDs(link, a)
}

// sendRequestIDs sends IDs to the other process, in messages that each fit the size limit.
func (l *Loop) sendRequestIDs(link *hotrestart.Link, a requestIDAnnouncements) {
	send := func(ids *hotrestart.RequestIDs) {
		link.Send(hotrestart.Message{Kind: hotrestart.RequestIDUpdate, RequestIDs: ids}, func(outcome hotrestart.Outcome) {
			if outcome != hotrestart.Written {
				l.log.Warn("request IDs not sent to the other process: the link has ended")
			}
		})
	}
	for ids := range slices.Chunk(a.open, requestIDsPerMessage) {
		send(&hotrestart.RequestIDs{Open: ids})
	}
	for ids := range slices.Chunk(a.used, requestIDsPerMessage) {
		send(&hotrestart.RequestIDs{Used: ids})
	}
	for ids := range slices.Chunk(a.released, requestIDsPerMessage) {
		send(&hotrestart.RequestIDs{Released: ids})
	}
}

// sendAllRequestIDs sends all IDs that are in use to a successor.
func (l *Loop) sendAllRequestIDs(link *hotrestart.Link) {
	all := requestIDAnnouncements{used: l.policy.UsedRequestIDs()}
	for id, session := range l.sessionsByClientID {
		if l.policy.MustRunOnce(session.policyRequest) {
			all.used = append(all.used, id)
		} else {
			all.open = append(all.open, id)
		}
	}
	l.sendRequestIDs(link, all)
}

// requestIDsReceived applies IDs that the other process has announced.
func (l *Loop) requestIDsReceived(ids *hotrestart.RequestIDs) {
	for _, id := range ids.Used {
		l.policy.UseRequestID(id)
	}
	for _, id := range ids.Open {
		if len(l.peerRequestIDs) >= maxPeerRequestIDs {
			l.log.Warn("request IDs of the other process ignored: too many are open", zap.Int("open", len(l.peerRequestIDs)))
			break
		}
		l.peerRequestIDs[id] = struct{}{}
	}
	for _, id := range ids.Released {
		delete(l.peerRequestIDs, id)
		if session := l.sessionsByClientID[id]; session == nil { // otherwise the session was handed over to this process
			l.policy.ReleaseRequestID(id)
		}
	}
}

// forgetPeerRequestIDs forgets the IDs of the other process's open sessions once it has ended. Those that must not run again stay.
func (l *Loop) forgetPeerRequestIDs() { clear(l.peerRequestIDs) }
