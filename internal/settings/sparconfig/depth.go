package sparconfig

import "github.com/juju/errors"

// maxDepth is the deepest nesting of lists and objects in a text: several times that of any
// document. The parser recurses, and a stack that overflows ends the process.
const maxDepth = 64

// checkDepth returns an error if text, JSON with comments, is nested more deeply than maxDepth. It
// checks nothing else: from the first syntax error on its count may be wrong, but the parser
// stops there.
func checkDepth(text []byte) error {
	depth := 0
	for i := 0; i < len(text); i++ {
		switch text[i] {
		case '[', '{':
			if depth++; depth > maxDepth {
				return errors.Errorf("nested more than %d deep", maxDepth)
			}
		case ']', '}':
			depth--
		case '"':
			i = skipString(text, i)
		case '/':
			i = skipComment(text, i)
		}
	}
	return nil
}

// skipString returns the index of the quote that ends the string which begins at i.
func skipString(text []byte, i int) int {
	for i++; i < len(text) && text[i] != '"'; i++ {
		if text[i] == '\\' {
			i++
		}
	}
	return i
}

// skipComment returns the index of the last byte of the comment that begins at i, or i if there is
// none.
func skipComment(text []byte, i int) int {
	if i+1 >= len(text) {
		return i
	}
	switch text[i+1] {
	case '/':
		for i < len(text) && text[i] != '\n' {
			i++
		}
	case '*':
		for i += 2; i+1 < len(text) && (text[i] != '*' || text[i+1] != '/'); i++ {
		}
		i++
	}
	return i
}
