package quarantine

import (
	"maps"
	"slices"
	"time"

	"birchlink.dev/birchlink/requesthash"
)

// updateRefused drops expired records, recomputes the set of refused contents and logs the
// changes.
func (q *Quarantine) updateRefused(now time.Time) {
	for h, r := range q.records {
		if now.Sub(r.lastCrash) > recordTTL && now.Sub(r.lastAnswer) > answerProtection {
			delete(q.records, h)
		}
	}
	refused := selectRefused(q.records)
	for h := range refused {
		if !q.refused[h] {
			q.Log.Warn().Str("event", "content").Stringer("content", h).Int("ended", len(q.records[h].crashes)).Dur("hold", q.records[h].holdTime()).Msg("refused")
		}
	}
	for h := range q.refused {
		if !refused[h] {
			q.Log.Warn().Str("event", "content").Stringer("content", h).Msg("no longer refused")
		}
	}
	q.refused = refused
}

// selectRefused returns the contents that explain the crashes. It is a greedy set cover: the content
// with the most unexplained crashes is selected first, and its crashes no longer count for any other
// content. Contents with equally many are selected together, until further crashes distinguish them.
func selectRefused(records map[requesthash.Hash]*record) map[requesthash.Hash]bool {
	refused := map[requesthash.Hash]bool{}
	explained := map[uint64]bool{}
	for {
		top := mostCrashes(records, refused, explained)
		if len(top) == 0 {
			prune(records, refused)
			return refused
		}
		for _, h := range top {
			refused[h] = true
			for e := range records[h].crashes {
				explained[e] = true
			}
		}
	}
}

// mostCrashes returns the contents, not yet selected, with the most unexplained crashes. It returns
// none if that number is below minCrashes.
func mostCrashes(records map[requesthash.Hash]*record, refused map[requesthash.Hash]bool, explained map[uint64]bool) []requesthash.Hash {
	most := minCrashes
	var top []requesthash.Hash
	for h, r := range records {
		if refused[h] || len(r.crashes) < most {
			continue
		}
		n := r.unexplained(explained)
		if n > most {
			most, top = n, top[:0]
		}
		if n == most {
			top = append(top, h)
		}
	}
	return top
}

// prune removes the contents whose crashes are all explained by others. A content whose crashes are
// a subset of h's does not explain any for h, so of two contents with the same crashes both stay.
func prune(records map[requesthash.Hash]*record, refused map[requesthash.Hash]bool) {
	for _, h := range slices.Sorted(maps.Keys(refused)) {
		others := map[uint64]bool{}
		for o := range refused {
			if records[o].unexplained(crashSet(records[h])) == 0 {
				continue
			}
			maps.Copy(others, crashSet(records[o]))
		}
		if records[h].unexplained(others) == 0 {
			delete(refused, h)
		}
	}
}

func crashSet(r *record) map[uint64]bool {
	out := map[uint64]bool{}
	for e := range r.crashes {
		out[e] = true
	}
	return out
}
