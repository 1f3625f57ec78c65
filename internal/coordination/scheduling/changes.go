package scheduling

// changeLog records the nodes that changed, in order, so that counts over all nodes can
// be updated by examining only these. It is cleared when it gets as long as the number
// of nodes, since a full recount costs no more from then on.
type changeLog struct {
	nodes      []*node
	limit      int
	generation int
	// markedLength is the length at the newest mark. A node recorded before it is
	// recorded again on its next change.
	markedLength int
}

// changeMark is a position in a changeLog.
type changeMark struct{ generation, length int }

func (l *changeLog) add(n *node) {
	last := len(l.nodes) - 1
	if last >= l.markedLength && l.nodes[last] == n {
		return
	}
	if len(l.nodes) >= l.limit {
		l.nodes = l.nodes[:0]
		l.generation++
		l.markedLength = 0
	}
	l.nodes = append(l.nodes, n)
}

func (l *changeLog) mark() changeMark {
	l.markedLength = len(l.nodes)
	return changeMark{l.generation, l.markedLength}
}

// since returns the nodes changed after a mark; known is false if the log was cleared
// in between.
func (l *changeLog) since(mark changeMark) (changed []*node, known bool) {
	if mark.generation != l.generation {
		return nil, false
	}
	return l.nodes[mark.length:], true
}
