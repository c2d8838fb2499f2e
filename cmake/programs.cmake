# Executables of the product.
