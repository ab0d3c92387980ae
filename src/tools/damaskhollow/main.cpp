#include <iostream>

int main() { std::cout << "damaskhollow\n"; }
