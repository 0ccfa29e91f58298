// Command vload is part of verbenaroad.
package main

func main() {}
