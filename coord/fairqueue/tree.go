package fairqueue

import "time"

// entry is a queued item and a node of its class's treap, which is ordered by start tag and
// then by arrival. Each node holds the total cost and the earliest deadline of its subtree.
type entry[V any] struct {
	item         Item[V]
	accountState *account
	startTag     float64
	seq          uint64
	// deadlineOffset is the deadline as time since the queue's epoch.
	deadlineOffset time.Duration
	queued         bool // false once the entry was removed from the queue

	priority         uint64
	left, right      *entry[V]
	subtreeCost      float64
	earliestDeadline time.Duration
}

// before reports whether e is popped before o.
func (e *entry[V]) before(o *entry[V]) bool {
	if e.startTag != o.startTag {
		return e.startTag < o.startTag
	}
	return e.seq < o.seq
}

// updateSubtree recomputes the total cost and the earliest deadline of e's subtree from e and its
// children.
func (e *entry[V]) updateSubtree() {
	e.subtreeCost = e.item.Cost
	e.earliestDeadline = e.deadlineOffset
	for _, child := range [2]*entry[V]{e.left, e.right} {
		if child == nil {
			continue
		}
		e.subtreeCost += child.subtreeCost
		e.earliestDeadline = min(e.earliestDeadline, child.earliestDeadline)
	}
}

// totalCost returns the total cost of the subtree; e may be nil.
func (e *entry[V]) totalCost() float64 {
	if e == nil {
		return 0
	}
	return e.subtreeCost
}

// insert adds e to the subtree with the given root and returns the new root.
func insert[V any](root, e *entry[V]) *entry[V] {
	if root == nil || e.priority > root.priority {
		e.left, e.right = split(root, e)
		e.updateSubtree()
		return e
	}
	if e.before(root) {
		root.left = insert(root.left, e)
	} else {
		root.right = insert(root.right, e)
	}
	root.updateSubtree()
	return root
}

// remove removes e from the subtree with the given root, which must contain it, and returns the
// new root.
func remove[V any](root, e *entry[V]) *entry[V] {
	if root == e {
		rest := merge(e.left, e.right)
		e.left, e.right = nil, nil
		return rest
	}
	if e.before(root) {
		root.left = remove(root.left, e)
	} else {
		root.right = remove(root.right, e)
	}
	root.updateSubtree()
	return root
}

// firstEntry returns the entry of the class that is popped next; root must not be nil.
func firstEntry[V any](root *entry[V]) *entry[V] {
	for root.left != nil {
		root = root.left
	}
	return root
}

// costThrough returns the total cost of the entries whose start tag is at most startTag.
func costThrough[V any](root *entry[V], startTag float64) float64 {
	var sum float64
	for root != nil {
		if root.startTag > startTag {
			root = root.left
			continue
		}
		sum += root.left.totalCost() + root.item.Cost
		root = root.right
	}
	return sum
}

// split divides the subtree with the given root into the entries before and after e.
func split[V any](root, e *entry[V]) (before, after *entry[V]) {
	if root == nil {
		return nil, nil
	}
	if root.before(e) {
		root.right, after = split(root.right, e)
		root.updateSubtree()
		return root, after
	}
	before, root.left = split(root.left, e)
	root.updateSubtree()
	return before, root
}

// merge joins two subtrees; all entries of a must come before all entries of b.
func merge[V any](a, b *entry[V]) *entry[V] {
	if a == nil {
		return b
	}
	if b == nil {
		return a
	}
	if a.priority > b.priority {
		a.right = merge(a.right, b)
		a.updateSubtree()
		return a
	}
	b.left = merge(a, b.left)
	b.updateSubtree()
	return b
}
