package engine

import "github.com/zeebo/errs"

// errCompletion is the class of errors in completion requests.
var errCompletion = errs.Class("completion") //nolint:gochecknoglobals // an error class is a constant in all but syntax
