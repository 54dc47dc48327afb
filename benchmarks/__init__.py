"""What must be shown, one program a claim; and the stand-ins that tests share with them."""
