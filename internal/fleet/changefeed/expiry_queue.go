package changefeed

// expiryQueue is a min-heap of a publisher's sessions by the time of their next expiry check, and by connection ID where the times are
// equal. It implements heap.Interface and keeps each session's heapIndex up to date.
type expiryQueue []*session

func (q expiryQueue) Len() int { return len(q) }

func (q expiryQueue) Less(i, j int) bool {
	if q[i].nextExpiryCheck != q[j].nextExpiryCheck {
		return q[i].nextExpiryCheck < q[j].nextExpiryCheck
	}
	return q[i].connID < q[j].connID
}

func (q expiryQueue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].heapIndex = i
	q[j].heapIndex = j
}

func (q *expiryQueue) Push(x any) {
	s := x.(*session)
	s.heapIndex = len(*q)
	*q = append(*q, s)
}

func (q *expiryQueue) Pop() any {
	last := len(*q) - 1
	s := (*q)[last]
	(*q)[last] = nil
	*q = (*q)[:last]
	return s
}
