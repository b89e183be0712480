// Command samphirequay is for people: operators, newcomers and experiments.
package main

func main() {}
