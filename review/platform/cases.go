package main

// cases are the cases by their names; each registers itself.
var cases = map[string]func(w *world) (broken []string){}
