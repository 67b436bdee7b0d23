package rules

import "sort"

// indexPair holds the indexes of equal elements in two lists.
type indexPair struct{ a, b int }

// Limits of alignEqual. maxLCSCells bounds the table of longestCommonSubsequence
// to 4 MiB; maxAnchorDepth bounds the recursion on hostile input.
const (
	maxLCSCells    = 1 << 20
	maxAnchorDepth = 64
)

// alignEqual returns the indexes of equal elements, increasing in both lists.
// Elements that are unique in both lists become anchors (patience diff). Between
// two anchors it takes the longest common subsequence when the table for it is
// small enough, and pairs nothing otherwise.
func alignEqual(a, b []string) []indexPair {
	x := aligner{a: a, b: b}
	x.alignRange(0, len(a), 0, len(b), 0)
	return x.pairs
}

// aligner collects the pairs of lists a and b. Its methods align the elements
// a[a0:a1] with b[b0:b1].
type aligner struct {
	a, b  []string
	pairs []indexPair
}

// alignRange pairs the common prefix and suffix, then what lies between them.
func (x *aligner) alignRange(a0, a1, b0, b1, depth int) {
	for a0 < a1 && b0 < b1 && x.a[a0] == x.b[b0] {
		x.pairs = append(x.pairs, indexPair{a0, b0})
		a0, b0 = a0+1, b0+1
	}
	suffixLength := 0
	for a0 < a1 && b0 < b1 && x.a[a1-1] == x.b[b1-1] {
		a1, b1, suffixLength = a1-1, b1-1, suffixLength+1
	}
	if a0 < a1 && b0 < b1 {
		x.alignMiddle(a0, a1, b0, b1, depth)
	}
	for i := range suffixLength {
		x.pairs = append(x.pairs, indexPair{a1 + i, b1 + i})
	}
}

// alignMiddle aligns ranges without a common prefix or suffix.
func (x *aligner) alignMiddle(a0, a1, b0, b1, depth int) {
	anchors := x.uniqueAnchors(a0, a1, b0, b1)
	if len(anchors) == 0 || depth >= maxAnchorDepth {
		if (a1-a0)*(b1-b0) <= maxLCSCells {
			x.longestCommonSubsequence(a0, a1, b0, b1)
		}
		return
	}
	for _, p := range anchors {
		x.alignRange(a0, p.a, b0, p.b, depth+1)
		x.pairs = append(x.pairs, p)
		a0, b0 = p.a+1, p.b+1
	}
	x.alignRange(a0, a1, b0, b1, depth+1)
}

// uniqueAnchors returns the longest increasing sequence of pairs of elements that
// occur exactly once in each range.
func (x *aligner) uniqueAnchors(a0, a1, b0, b1 int) []indexPair {
	type occurrence struct{ countA, countB, indexB int }
	occurrences := make(map[string]occurrence, a1-a0)
	for i := a0; i < a1; i++ {
		o := occurrences[x.a[i]]
		o.countA++
		occurrences[x.a[i]] = o
	}
	for j := b0; j < b1; j++ {
		if o, ok := occurrences[x.b[j]]; ok {
			o.countB, o.indexB = o.countB+1, j
			occurrences[x.b[j]] = o
		}
	}
	var unique []indexPair
	for i := a0; i < a1; i++ {
		if o := occurrences[x.a[i]]; o.countA == 1 && o.countB == 1 {
			unique = append(unique, indexPair{i, o.indexB})
		}
	}
	return longestIncreasing(unique)
}

// longestIncreasing returns the longest subsequence of pairs with increasing b.
// The pairs must be sorted by a.
func longestIncreasing(pairs []indexPair) []indexPair {
	// lastByLength[n] is the index of the last pair of the subsequence of length n+1
	// that ends with the lowest b.
	var lastByLength []int
	predecessor := make([]int, len(pairs))
	for i, p := range pairs {
		n := sort.Search(len(lastByLength), func(k int) bool { return pairs[lastByLength[k]].b > p.b })
		predecessor[i] = -1
		if n > 0 {
			predecessor[i] = lastByLength[n-1]
		}
		if n == len(lastByLength) {
			lastByLength = append(lastByLength, i)
		} else {
			lastByLength[n] = i
		}
	}
	longest := make([]indexPair, len(lastByLength))
	if len(lastByLength) == 0 {
		return longest
	}
	for i, n := lastByLength[len(lastByLength)-1], len(lastByLength)-1; n >= 0; n-- {
		longest[n] = pairs[i]
		i = predecessor[i]
	}
	return longest
}

// longestCommonSubsequence adds the pairs of a longest common subsequence. It
// takes time and memory proportional to the product of the range lengths.
func (x *aligner) longestCommonSubsequence(a0, a1, b0, b1 int) {
	width := b1 - b0 + 1
	table := make([]int32, (a1-a0+1)*width)
	for i := a1 - a0 - 1; i >= 0; i-- {
		for j := b1 - b0 - 1; j >= 0; j-- {
			if x.a[a0+i] == x.b[b0+j] {
				table[i*width+j] = table[(i+1)*width+j+1] + 1
			} else {
				table[i*width+j] = max(table[(i+1)*width+j], table[i*width+j+1])
			}
		}
	}
	for i, j := 0, 0; i < a1-a0 && j < b1-b0; {
		switch {
		case x.a[a0+i] == x.b[b0+j]:
			x.pairs = append(x.pairs, indexPair{a0 + i, b0 + j})
			i, j = i+1, j+1
		case table[(i+1)*width+j] >= table[i*width+j+1]:
			i++
		default:
			j++
		}
	}
}
