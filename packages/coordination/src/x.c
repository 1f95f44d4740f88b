extern int sl_placeholder;
int sl_placeholder;
