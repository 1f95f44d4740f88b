extern int sl_placeholder_s;
int sl_placeholder_s;
