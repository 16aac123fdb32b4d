// Package swtypo finds the word that another one probably misspells.
package swtypo

import "strings"

// maxDistance is the largest edit distance at which a word counts as a misspelling of another.
const maxDistance = 2

// Nearest returns the known word that word probably misspells, or an empty string.
func Nearest(word string, known []string) string {
	best, bestDistance := "", maxDistance+1
	for _, candidate := range known {
		distance := editDistance(strings.ToLower(word), strings.ToLower(candidate))
		if distance < bestDistance {
			best, bestDistance = candidate, distance
		}
	}
	return best
}

// editDistance returns the Levenshtein distance of two words in bytes. It returns maxDistance + 1, without comparing the
// words, if their lengths differ by more than maxDistance.
func editDistance(from, to string) int {
	if max(len(from)-len(to), len(to)-len(from)) > maxDistance {
		return maxDistance + 1
	}
	row := make([]int, len(to)+1)
	for j := range row {
		row[j] = j
	}
	for i := range len(from) {
		diagonal := row[0]
		row[0] = i + 1
		for j := range len(to) {
			cost := diagonal
			if from[i] != to[j] {
				cost++
			}
			diagonal = row[j+1]
			row[j+1] = min(cost, row[j]+1, row[j+1]+1)
		}
	}
	return row[len(to)]
}
