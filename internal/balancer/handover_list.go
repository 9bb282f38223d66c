package balancer

import (
	"slices"

	"go.uber.org/zap"

	"sabletally/internal/discovery"
	"sabletally/internal/hotrestart"
	"sabletally/policy"
)

// This file hands the endpoint list over to the successor of a hot restart. The successor's configuration file may hold an older list, and
// discovery may be silent when it starts: without the predecessor's list it would use servers of which the balancer knows that they drain.

const (
	endpointsPerListPart = 256
	// maxInheritedEndpoints is the largest list that is taken over; a larger one is ignored.
	maxInheritedEndpoints = 1 << 17
)

// listPosition is the position of an endpoint list in the changes of a discovery service.
type listPosition struct {
	address  string // address of the discovery service; positions of different services can't be compared
	revision uint64
}

func (p listPosition) isNewerThan(other listPosition) bool {
	return p.address == other.address && p.revision > other.revision
}

// inheritedList collects the parts of a list from the predecessor.
type inheritedList struct {
	list      discovery.List
	nextIndex int // index of the part that must come next
}

// listInForce returns the endpoint list in force.
func (l *Loop) listInForce() discovery.List {
	list := discovery.List{Revision: l.listPosition.revision, Complete: true}
	for _, server := range l.servers {
		if server.state != policy.Removed {
			list.Endpoints = append(list.Endpoints, server.entry)
		}
	}
	return list
}

// sendList sends a list from the discovery service of l.listPosition to a successor: the list in force or the newest changes of it.
func (l *Loop) sendList(link *hotrestart.Link, list discovery.List) {
	chunks := slices.Collect(slices.Chunk(list.Endpoints, endpointsPerListPart))
	if len(chunks) == 0 {
		chunks = [][]discovery.Endpoint{nil}
	}
	l.log.Info("endpoint list sent to successor",
		zap.Uint64("rev", list.Revision),
		zap.Bool("whole", list.Complete),
		zap.Int("entries", len(list.Endpoints)))
	for index, endpoints := range chunks {
		part := &hotrestart.ListPart{
			Discovery: l.listPosition.address,
			Index:     index,
			Count:     len(chunks),
			List:      discovery.Encode(discovery.List{Revision: list.Revision, Complete: list.Complete, Endpoints: endpoints}),
		}
		link.Send(hotrestart.Message{Kind: hotrestart.EndpointList, List: part}, func(outcome hotrestart.Outcome) {
			if outcome != hotrestart.Written {
				l.log.Warn("endpoint list not sent to successor: the message is too large or the link has ended", zap.Int("part", index))
			}
		})
	}
}

// listPartReceived collects a part of the predecessor's list, and applies the list once it is complete.
func (l *Loop) listPartReceived(part *hotrestart.ListPart) {
	list, err := discovery.Decode(part.List)
	collected := &l.handover.inheritedList
	if part.Index == 0 {
		*collected = inheritedList{}
	}
	switch {
	case err != nil || part.Index != collected.nextIndex || len(collected.list.Endpoints)+len(list.Endpoints) > maxInheritedEndpoints:
		l.log.Warn("endpoint list of predecessor ignored: a part is malformed or missing, or the list is too large",
			zap.Int("part", part.Index),
			zap.Error(err))
		*collected = inheritedList{}
		return
	case part.Index > 0:
		list.Endpoints = append(collected.list.Endpoints, list.Endpoints...)
	}
	*collected = inheritedList{list: list, nextIndex: part.Index + 1}
	if collected.nextIndex < part.Count {
		return
	}
	*collected = inheritedList{}
	l.inheritList(list, listPosition{address: part.Discovery, revision: list.Revision})
}

// inheritList applies a list of the predecessor, unless this process knows as much from discovery itself.
func (l *Loop) inheritList(list discovery.List, position listPosition) {
	isUsed := !l.hasCurrentList && position.isNewerThan(l.listPosition)
	l.log.Info("endpoint list of predecessor received",
		zap.Bool("used", isUsed),
		zap.Uint64("rev", list.Revision),
		zap.Bool("whole", list.Complete),
		zap.Int("entries", len(list.Endpoints)))
	if !isUsed {
		return
	}
	l.listPosition = position
	l.applyList(list, true)
}
