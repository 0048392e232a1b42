package probe

// schedule is a heap of targets; the target due first is at the top.
type schedule []*target

func (s schedule) Len() int           { return len(s) }
func (s schedule) Less(i, j int) bool { return s[i].probeDue < s[j].probeDue }
func (s schedule) Swap(i, j int)      { s[i], s[j] = s[j], s[i] }

// Push adds a *target; it implements heap.Interface.
func (s *schedule) Push(x any) { *s = append(*s, x.(*target)) }

// Pop removes the last element; it implements heap.Interface.
func (s *schedule) Pop() any {
	old := *s
	t := old[len(old)-1]
	old[len(old)-1] = nil
	*s = old[:len(old)-1]
	return t
}
