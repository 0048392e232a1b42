package probe

// schedule is a heap of targets, the one due first on top.
type schedule []*target

func (s schedule) Len() int           { return len(s) }
func (s schedule) Less(i, j int) bool { return s[i].due < s[j].due }
func (s schedule) Swap(i, j int)      { s[i], s[j] = s[j], s[i] }

// Push adds a *target; for container/heap.
func (s *schedule) Push(x any) { *s = append(*s, x.(*target)) }

// Pop removes the last element; for container/heap.
func (s *schedule) Pop() any {
	old := *s
	t := old[len(old)-1]
	old[len(old)-1] = nil
	*s = old[:len(old)-1]
	return t
}
