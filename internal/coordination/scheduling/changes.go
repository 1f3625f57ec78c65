package scheduling

// changeLog lists the nodes that change, in order, so that what is counted over all nodes
// is brought up to date by a look at few. It forgets all when it is as long as there are
// nodes: to count them all afresh costs no more then.
type changeLog struct {
	nodes []*node
	limit int
	round int
	// marked is the length at the newest mark: a node listed before it is listed again
	// when it changes again.
	marked int
}

// changeMark is a point in a changeLog.
type changeMark struct{ round, length int }

func (l *changeLog) add(n *node) {
	last := len(l.nodes) - 1
	if last >= l.marked && l.nodes[last] == n {
		return
	}
	if len(l.nodes) >= l.limit {
		l.nodes = l.nodes[:0]
		l.round++
		l.marked = 0
	}
	l.nodes = append(l.nodes, n)
}

func (l *changeLog) now() changeMark {
	l.marked = len(l.nodes)
	return changeMark{l.round, l.marked}
}

// since lists the changes after a mark; they are not known if the log forgot them.
func (l *changeLog) since(mark changeMark) (changed []*node, known bool) {
	if mark.round != l.round {
		return nil, false
	}
	return l.nodes[mark.length:], true
}
