// Command samphirequayd is the daemon that every entry host runs.
package main

func main() {}
